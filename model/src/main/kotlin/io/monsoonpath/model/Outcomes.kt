package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Tells whether any part of a refused request may have run on a backend server. */
@Serializable
enum class ExecutionStatus {
    /** No byte of the request can have reached a backend server. */
    @SerialName("not-run")
    NOT_RUN,

    /** A part of the request has run or may have run, with an unknown outcome. */
    @SerialName("unknown")
    UNKNOWN,
}

/** The processing step of a request in which a refusal or an error occurred. */
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
 * The reason why a request was refused, as reported to the caller.
 *
 * @property status the HTTP status code of the refusal
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

    /** The workspace has exhausted its rate and burst, which apply across all instances. */
    @SerialName("rate-limited")
    RATE_LIMITED(429),

    /** Too many requests of the workspace are running or queued; its rate limit is not the cause. */
    @SerialName("concurrency-limited")
    CONCURRENCY_LIMITED(429),

    /** The rate limit could not be checked because the peers that hold it did not answer. */
    @SerialName("limit-unreachable")
    LIMIT_UNREACHABLE(503),

    /** This instance may not serve the request: its lease has expired or its configuration is not current. */
    @SerialName("not-in-service")
    NOT_IN_SERVICE(503),

    /** The deadline cannot be met, so the remaining work is refused before it uses further resources. */
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

    /** A request with the same id is already running on this or another instance. */
    @SerialName("duplicate-running")
    DUPLICATE_RUNNING(409),

    /** A request with the same id has run before; its answer is not stored. */
    @SerialName("duplicate-finished")
    DUPLICATE_FINISHED(409),

    /** Too few of the instances that store claims answered. */
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
 * The refusal of a request, as returned to the caller.
 *
 * @property reason why the request was refused
 * @property ran whether any part of the request may have run
 * @property step the processing step in which the request was refused
 * @property detail a human-readable explanation in one sentence; never contains an API key
 * @property peer the instance or backend server at which the refusal occurred, or null if none was involved
 * @property stage the stage in which the request was refused, or null before the first stage
 * @property retryAfterMs the shortest time in milliseconds after which a retry can succeed, or null if a retry does not help
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

/** The result of a processing step: a value, or a refusal that names the step and the peer at which it occurred. */
sealed interface Outcome<out T> {
    /** The step succeeded with [value]. */
    data class Ok<out T>(
        val value: T,
    ) : Outcome<T>

    /** The step ended with [refusal]. */
    data class Refused(
        val refusal: Refusal,
    ) : Outcome<Nothing>
}

/** Returns the value, or null if this is a refusal. */
fun <T> Outcome<T>.valueOrNull(): T? =
    when (this) {
        is Outcome.Ok -> value
        is Outcome.Refused -> null
    }

/** Returns the result of applying [transform] to the value, or the refusal unchanged. */
inline fun <T, R> Outcome<T>.map(transform: (T) -> R): Outcome<R> =
    when (this) {
        is Outcome.Ok -> Outcome.Ok(transform(value))
        is Outcome.Refused -> this
    }
