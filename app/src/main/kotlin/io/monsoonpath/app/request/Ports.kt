package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec

/** Limits workspaces to their rate and burst. */
internal interface RateLimiter {
    /** Takes one request off the limit of [workspace], or refuses with a retry time. */
    suspend fun acquire(workspace: WorkspaceSpec): Outcome<Unit>

    /** Gives back what [acquire] took for a request that was refused later; best effort. */
    fun refund(workspace: WorkspaceSpec)
}

/** Makes sure that a non-idempotent request runs at most once, whichever instances it is sent through. */
internal interface ClaimSource {
    /** Claims [request] of [workspace], or refuses because it runs, ran, or cannot be claimed. */
    suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        ttlMs: Long,
    ): Outcome<Claim>
}

/** A claim on a request id. */
internal interface Claim {
    /** Records how the request ended; [sent] is false only if no byte can have reached a backend server. */
    fun finish(
        sent: Boolean,
        outcome: Outcome<Answer>,
    )
}

/** Shares this instance's capacity between workspaces. */
internal interface FairQueue {
    /** Waits for the request's turn, or refuses it. */
    suspend fun enter(exchange: Exchange): Outcome<Turn>
}

/** A running request's hold on capacity. */
internal fun interface Turn {
    /** Gives the capacity back; [costMs] is the stage time that the request has used. */
    fun leave(costMs: Long)
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
    fun sent(backend: BackendId)

    /** Notes that an attempt ended after [tookMs]; [succeeded] is false for a failure of the backend server. */
    fun ended(
        backend: BackendId,
        stage: StageSpec,
        tookMs: Long,
        succeeded: Boolean,
    )
}

/** Keeps each backend server within the load that it bears. */
internal interface PermitSource {
    /** Acquires a permit for one attempt at [backend], or refuses. */
    suspend fun acquire(
        backend: BackendSpec,
        deadlineAtMs: Long,
    ): Outcome<Permit>
}

/** A permit for one attempt, held until the answer is complete or the attempt is known to be cancelled. */
internal fun interface Permit {
    fun release()
}
