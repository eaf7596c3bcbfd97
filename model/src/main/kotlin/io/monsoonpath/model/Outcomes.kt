package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether any part of a refused request can have run on a backend server. */
@Serializable
enum class ExecutionStatus {
    /** No byte of the request can have reached a backend server. */
    @SerialName("not-run")
    NOT_RUN,

    /** A part of the request ran or may have run; its outcome is not known. */
    @SerialName("unknown")
    UNKNOWN,
}

/** The step of a request's way at which a refusal or an error arose. */
@Serializable
enum class Step {
    @SerialName("receive")
    RECEIVE,

    @SerialName("authenticate")
    AUTHENTICATE,

    @SerialName("route")
    ROUTE,

    @SerialName("rate")
    RATE,

    @SerialName("queue")
    QUEUE,

    @SerialName("claim")
    CLAIM,

    @SerialName("deadline")
    DEADLINE,

    @SerialName("choose")
    CHOOSE,

    @SerialName("permit")
    PERMIT,

    @SerialName("send")
    SEND,

    @SerialName("answer")
    ANSWER,

    @SerialName("stream")
    STREAM,
}

/**
 * Why a request was refused, in the caller's terms.
 *
 * @property status the HTTP status that carries the refusal
 */
@Serializable
enum class RefusalReason(
    val status: Int,
) {
    @SerialName("bad-request")
    BAD_REQUEST(400),

    @SerialName("key-missing")
    KEY_MISSING(401),

    @SerialName("key-invalid")
    KEY_INVALID(401),

    @SerialName("key-withdrawn")
    KEY_WITHDRAWN(401),

    @SerialName("no-route")
    NO_ROUTE(404),

    @SerialName("body-too-large")
    BODY_TOO_LARGE(413),

    /** The workspace has used up its rate and burst over all instances. */
    @SerialName("rate-limited")
    RATE_LIMITED(429),

    /** Too many requests of the workspace are running or waiting; its rate is not the cause. */
    @SerialName("concurrency-limited")
    CONCURRENCY_LIMITED(429),

    /** The rate could not be checked because peers that hold it did not answer. */
    @SerialName("limit-unreachable")
    LIMIT_UNREACHABLE(503),

    /** This instance may not act: it lost its right or its configuration is not current. */
    @SerialName("not-in-service")
    NOT_IN_SERVICE(503),

    /** The deadline cannot be met; the work was refused before it cost anything more. */
    @SerialName("deadline-unreachable")
    DEADLINE_UNREACHABLE(504),

    @SerialName("deadline-passed")
    DEADLINE_PASSED(504),

    @SerialName("overloaded")
    OVERLOADED(503),

    @SerialName("no-backend")
    NO_BACKEND(503),

    @SerialName("backend-failed")
    BACKEND_FAILED(502),

    /** The same request id is running already, here or at another instance. */
    @SerialName("duplicate-running")
    DUPLICATE_RUNNING(409),

    /** The same request id ran before; its answer is not kept. */
    @SerialName("duplicate-finished")
    DUPLICATE_FINISHED(409),

    /** Not enough holders of claims answered. */
    @SerialName("claim-unreachable")
    CLAIM_UNREACHABLE(503),

    @SerialName("shutting-down")
    SHUTTING_DOWN(503),

    @SerialName("cancelled")
    CANCELLED(499),

    @SerialName("internal")
    INTERNAL(500),
}

/**
 * A typed refusal of a request, as the caller reads it.
 *
 * @property reason why the request was refused
 * @property ran whether any of it can have run
 * @property step where on the request's way the refusal arose
 * @property detail one sentence for people; it never holds a key
 * @property peer the instance or backend server at which it arose, or null where none was involved
 * @property stage the stage at which it arose, or null before the first stage
 * @property retryAfterMs the shortest wait after which a retry can succeed, or null where a retry does not help
 */
@Serializable
data class Refusal(
    val reason: RefusalReason,
    val ran: ExecutionStatus,
    val step: Step,
    val detail: String,
    val peer: String? = null,
    val stage: StageId? = null,
    val retryAfterMs: Long? = null,
)

/** The result of a step: a value, or a refusal that carries the step and the peer at which it arose. */
sealed interface Outcome<out T> {
    /** The step succeeded with [value]. */
    data class Ok<out T>(
        val value: T,
    ) : Outcome<T>

    /** The step ended in [refusal]. */
    data class Refused(
        val refusal: Refusal,
    ) : Outcome<Nothing>
}

/** Returns the value, or null after a refusal. */
fun <T> Outcome<T>.valueOrNull(): T? =
    when (this) {
        is Outcome.Ok -> value
        is Outcome.Refused -> null
    }

/** Returns the result of [transform] on the value, or the refusal unchanged. */
inline fun <T, R> Outcome<T>.map(transform: (T) -> R): Outcome<R> =
    when (this) {
        is Outcome.Ok -> Outcome.Ok(transform(value))
        is Outcome.Refused -> this
    }
