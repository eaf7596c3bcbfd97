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

/** The decisions that the path of a request asks for; each can be replaced alone. */
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

/** Tells whether this instance may take requests at all. */
internal fun interface ServiceGate {
    /** Returns why this instance may not take [exchange], or null if it may; called once its route and workspace are known. */
    fun refusalOrNull(exchange: Exchange): Refusal?
}

/** Limits workspaces to their rate and burst. */
internal interface RateLimiter {
    /** Takes one request off the limit of [workspace] by [deadlineAtMs], or refuses with a retry time. */
    suspend fun acquire(
        workspace: WorkspaceSpec,
        deadlineAtMs: Long,
    ): Outcome<RateToken>
}

/** What one request took off the limit of its workspace. */
internal fun interface RateToken {
    /** Gives the token back, for a request that was refused later without having run; best effort. */
    fun refund()
}

/** Makes sure that a non-idempotent request runs at most once, whichever instances it is sent through. */
internal interface ClaimSource {
    /** Claims [request] of [workspace], which runs for [maxDurationMs] at most, or refuses because it runs, ran, or cannot be claimed. */
    suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        maxDurationMs: Long,
    ): Outcome<Claim>
}

/** A claim on a request id. */
internal fun interface Claim {
    /** Records how the request ended; a resend may run only if [ran] is false. */
    fun finish(
        ran: Boolean,
        outcome: Outcome<Answer>?,
    )
}

/** Shares this instance's capacity between workspaces. */
internal interface FairQueue {
    /** Waits for the request's turn, or refuses it; a wait ends with the caller's coroutine. */
    suspend fun acquire(exchange: Exchange): Outcome<ExecutionSlot>
}

/** A running request's hold on capacity. */
internal fun interface ExecutionSlot {
    /** Gives the capacity back; [costMs] is the stage time that the request has used. */
    fun release(costMs: Long)
}

/** Divides a request's time over the stages of its pipeline. */
internal fun interface StageDeadlines {
    /**
     * Returns how long the stage at [index] of [pipeline] may take, in milliseconds from 1 to [remainingMs],
     * or refuses because the stages from [index] on cannot be done in [remainingMs].
     */
    fun budgetMs(
        pipeline: PipelineSpec,
        index: Int,
        remainingMs: Long,
    ): Outcome<Long>
}

/** Chooses the backend server for each attempt and learns from what happened. */
internal interface BackendChooser {
    /** Returns a backend server for [stage] that is not in [excluded], or a refusal. */
    fun choose(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
    ): Outcome<BackendSpec>

    /** Notes that an attempt was sent. */
    fun onAttemptSent(backend: BackendId)

    /** Notes how an attempt ended; called once for each [onAttemptSent]. */
    fun onAttemptEnded(report: AttemptReport)
}

/** How an attempt at a backend server ended. */
internal enum class AttemptEnd {
    /** The whole answer came and is the one asked for. */
    ANSWERED,

    /** The backend server failed, or its answer was not the one asked for. */
    FAILED,

    /** The answer did not come in time. */
    TIMED_OUT,

    /** It was cancelled by this instance; the backend server may go on with it for a while. */
    CANCELLED,

    /** No byte of it can have reached the backend server. */
    NOT_SENT,
}

/**
 * What an attempt showed about a backend server.
 *
 * @property tookMs the time from the send to the end
 * @property incarnation the incarnation that the backend server named in its answer, or null without an answer
 */
internal class AttemptReport(
    val backend: BackendSpec,
    val stage: StageSpec,
    val end: AttemptEnd,
    val tookMs: Long,
    val incarnation: String?,
)

/** Keeps each backend server within the load that it bears. */
internal interface PermitSource {
    /** Acquires a permit for one attempt at [backend] that may last until [deadlineAtMs], or refuses. */
    suspend fun acquire(
        backend: BackendSpec,
        deadlineAtMs: Long,
    ): Outcome<Permit>
}

/** A permit for one attempt, held from before the send until the answer is complete or the attempt has been given up. */
internal fun interface Permit {
    /** Gives the permit back; [end] tells whether the backend server may still be busy with the attempt. */
    fun release(end: AttemptEnd)
}

/** Bounds the load that retryBudget add. */
internal interface RetryBudget {
    /** Notes a first attempt, which earns a fraction of a retry. */
    fun recordFirstAttempt(stage: StageSpec)

    /** Spends one retry, or returns false where none is left. */
    fun tryAcquire(stage: StageSpec): Boolean
}

/** Decides where a token stream goes on after its engine was lost. */
internal fun interface StreamResumer {
    /** Returns where the stream of [stage] goes on from token [nextToken], on an engine that is not in [excluded]. */
    fun resume(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
        nextToken: Long,
    ): Outcome<ResumePoint>
}

/**
 * Where a token stream goes on.
 *
 * @property kvFrom the engine that the KV cache can be imported from, or null where the prompt is read anew
 */
internal class ResumePoint(
    val backend: BackendSpec,
    val kvFrom: BackendSpec? = null,
)
