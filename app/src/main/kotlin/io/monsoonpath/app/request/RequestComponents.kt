package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec

/** The components that request processing depends on. Each can be replaced independently. */
internal class RequestComponents(
    val gate: ServiceGate,
    val limiter: RateLimiter,
    val claims: ClaimSource,
    val queue: FairQueue,
    val deadlines: StageDeadlines,
    val chooser: BackendChooser,
    val permits: PermitSource,
    val retryBudget: RetryBudget,
    val resumer: StreamResumer,
)

/** Decides whether this instance may serve requests at all. */
internal fun interface ServiceGate {
    /** Returns why this instance may not serve [exchange], or null if it may. Called after the route and the workspace are known. */
    fun refusalOrNull(exchange: Exchange): Refusal?
}

/** Limits each workspace to its rate and burst. */
internal interface RateLimiter {
    /** Charges one request to the limit of [workspace] before [deadlineAtMs], or refuses it with the time after which to retry. */
    suspend fun acquire(
        workspace: WorkspaceSpec,
        deadlineAtMs: Long,
    ): Outcome<RateToken>
}

/** The charge of one request to the rate limit of its workspace. */
internal fun interface RateToken {
    /** Refunds the charge of a request that was refused later without having run. The refund is best effort. */
    fun refund()
}

/** Ensures that a non-idempotent request runs at most once, even if it is sent to several instances. */
internal interface ClaimSource {
    /**
     * Claims the id [request] of [workspace] for a request that runs for at most [maxDurationMs].
     *
     * The claim is refused if the request is running, has run before, or cannot be claimed.
     */
    suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        maxDurationMs: Long,
    ): Outcome<Claim>
}

/** A claim on a request id. */
internal fun interface Claim {
    /** Records how the request ended. A request with the same id may run again only if [ran] is false. */
    fun finish(
        ran: Boolean,
        outcome: Outcome<Answer>?,
    )
}

/** Shares the capacity of this instance fairly between workspaces. */
internal interface FairQueue {
    /** Waits for an execution slot, or refuses the request. Cancelling the calling coroutine ends the wait. */
    suspend fun acquire(exchange: Exchange): Outcome<ExecutionSlot>
}

/** The capacity that a running request occupies. */
internal fun interface ExecutionSlot {
    /** Releases the slot. [costMs] is the processing time that the request has used, in milliseconds. */
    fun release(costMs: Long)
}

/** Divides the remaining time of a request between the stages of its pipeline. */
internal fun interface StageDeadlines {
    /**
     * Returns the time budget of the stage at [index] of [pipeline], from 1 to [remainingMs] milliseconds,
     * or refuses the request because the stages from [index] on cannot complete within [remainingMs].
     */
    fun budgetMs(
        pipeline: PipelineSpec,
        index: Int,
        remainingMs: Long,
    ): Outcome<Long>
}

/** Chooses the backend server for each attempt, based on the results of earlier attempts. */
internal interface BackendChooser {
    /** Returns a backend server for [stage] that is not in [excluded], or a refusal. */
    fun choose(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
    ): Outcome<BackendSpec>

    /** Records that an attempt was sent to [backend]. */
    fun onAttemptSent(backend: BackendId)

    /** Records how an attempt ended. Called once for each call of [onAttemptSent]. */
    fun onAttemptEnded(report: AttemptReport)
}

/** How an attempt at a backend server ended. */
internal enum class AttemptEnd {
    /** The complete answer was received and belongs to the attempt. */
    ANSWERED,

    /** The backend server failed, or its answer did not belong to the attempt. */
    FAILED,

    /** The answer was not received in time. */
    TIMED_OUT,

    /** This instance cancelled the attempt. The backend server may continue to work on it for some time. */
    CANCELLED,

    /** The attempt was not sent: no byte of it can have reached the backend server. */
    NOT_SENT,
}

/**
 * The result of an attempt, reported to the [BackendChooser].
 *
 * @property tookMs the time from sending the attempt to its end, in milliseconds
 * @property incarnation the incarnation of the backend server stated in its answer, or null without an answer
 */
internal class AttemptReport(
    val backend: BackendSpec,
    val stage: StageSpec,
    val end: AttemptEnd,
    val tookMs: Long,
    val incarnation: String?,
)

/** Limits the number of concurrent attempts on each backend server. */
internal interface PermitSource {
    /** Acquires a permit for one attempt on [backend] that may last until [deadlineAtMs], or refuses it. */
    suspend fun acquire(
        backend: BackendSpec,
        deadlineAtMs: Long,
    ): Outcome<Permit>
}

/** A permit for one attempt, held from before the attempt is sent until its answer is complete or the attempt is abandoned. */
internal fun interface Permit {
    /** Releases the permit. [end] tells whether the backend server may still be working on the attempt. */
    fun release(end: AttemptEnd)
}

/** Limits the additional load caused by retries. */
internal interface RetryBudget {
    /** Records a first attempt, which adds a fraction of a retry to the budget. */
    fun recordFirstAttempt(stage: StageSpec)

    /** Takes one retry from the budget, or returns false if none is left. */
    fun tryAcquire(stage: StageSpec): Boolean
}

/** Decides where a token stream is resumed after its engine was lost. */
internal fun interface StreamResumer {
    /** Returns where to resume the stream of [stage] from token [nextToken], on an engine that is not in [excluded]. */
    fun resume(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
        nextToken: Long,
    ): Outcome<ResumePoint>
}

/**
 * The target of an attempt, which may resume a token stream.
 *
 * @property kvFrom the engine from which the KV cache can be imported, or null if the prompt must be processed again
 */
internal class ResumePoint(
    val backend: BackendSpec,
    val kvFrom: BackendSpec? = null,
)
