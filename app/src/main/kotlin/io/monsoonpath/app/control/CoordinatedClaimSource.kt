package io.monsoonpath.app.control

import io.monsoonpath.app.request.Claim
import io.monsoonpath.app.request.ClaimSource
import io.monsoonpath.app.request.refused
import io.monsoonpath.coordination.ClaimOutcome
import io.monsoonpath.coordination.ClaimRefusal
import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.claims.Claims
import io.monsoonpath.coordination.message.ClaimPhase
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import io.monsoonpath.model.TimingSettings
import io.monsoonpath.model.WorkspaceId
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Claims request ids across all instances, within bounded time.
 *
 * A claim is granted only while this process holds a valid lease, and the request is sent right afterwards. A process that is paused
 * in between refuses the request, because the coroutine that resumes with the grant checks its expiry and the lease again.
 *
 * @param submit posts an operation to the control loop, which executes the effects that the operation returns
 */
internal class CoordinatedClaimSource(
    private val claims: Claims,
    private val timing: TimingSettings,
    private val clock: ClockMs,
    private val mayAct: (Long) -> Boolean,
    private val submit: (() -> List<Effect>) -> Unit,
) : ClaimSource {
    private val pending = ConcurrentHashMap<Long, CompletableDeferred<ClaimOutcome>>()
    private val lastToken = AtomicLong()

    override suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        maxDurationMs: Long,
    ): Outcome<Claim> {
        if (maxDurationMs >= timing.claimTtlMs) return deadlineTooLong(maxDurationMs)
        val token = lastToken.incrementAndGet()
        val pendingOutcome = CompletableDeferred<ClaimOutcome>()
        pending[token] = pendingOutcome
        submit { claims.claim(clock.nowMs(), token, workspace ?: OPEN_ROUTES, request, timing.peerTimeoutMs) }
        val outcome =
            try {
                withTimeoutOrNull(timing.peerTimeoutMs + TIMEOUT_MARGIN_MS) { pendingOutcome.await() }
            } catch (e: CancellationException) {
                abandon(token)
                throw e
            }
        return if (outcome == null) unreachable().also { abandon(token) } else outcomeOf(token, outcome)
    }

    /** Handles the outcome of a claim. A granted claim that no request waits for is released, because nothing was sent. */
    fun onDecided(
        token: Long,
        outcome: ClaimOutcome,
    ) {
        val pendingOutcome = pending.remove(token)
        if (pendingOutcome != null) {
            pendingOutcome.complete(outcome)
        } else if (outcome is ClaimOutcome.Granted) {
            release(token)
        }
    }

    /** Stops waiting for the outcome of a claim. If the outcome has arrived concurrently, the claim is released here. */
    private fun abandon(token: Long) {
        if (pending.remove(token) == null) release(token)
    }

    private fun outcomeOf(
        token: Long,
        outcome: ClaimOutcome,
    ): Outcome<Claim> =
        when (outcome) {
            is ClaimOutcome.Granted -> granted(token, outcome)
            is ClaimOutcome.Duplicate -> duplicate(outcome)
            is ClaimOutcome.Refused -> refusedFor(outcome.reason)
        }

    private fun granted(
        token: Long,
        outcome: ClaimOutcome.Granted,
    ): Outcome<Claim> {
        val nowMs = clock.nowMs()
        if (nowMs >= outcome.useUntilMs || !mayAct(nowMs)) return unreachable().also { release(token) }
        return Outcome.Ok(Claim { ran, answer -> if (ran) finish(token, answer is Outcome.Ok) else release(token) })
    }

    private fun finish(
        token: Long,
        isAnswered: Boolean,
    ) = submit {
        if (isAnswered) {
            claims.finish(clock.nowMs(), token, ClaimPhase.FINISHED, "answered")
        } else {
            claims.finish(clock.nowMs(), token, ClaimPhase.UNKNOWN, "")
        }
    }

    private fun release(token: Long) = submit { claims.release(clock.nowMs(), token) }

    private fun duplicate(outcome: ClaimOutcome.Duplicate) =
        when (outcome.phase) {
            ClaimPhase.RUNNING -> duplicate(RefusalReason.DUPLICATE_RUNNING, "this request id is running")
            ClaimPhase.UNKNOWN ->
                duplicate(
                    RefusalReason.DUPLICATE_FINISHED,
                    "this request id was sent before, and its outcome is not known",
                )
            ClaimPhase.FINISHED -> duplicate(RefusalReason.DUPLICATE_FINISHED, "this request id was answered before")
        }

    private fun duplicate(
        reason: RefusalReason,
        detail: String,
    ) = refused(reason, Step.CLAIM, detail, ran = ExecutionStatus.UNKNOWN)

    private fun refusedFor(reason: ClaimRefusal) =
        when (reason) {
            ClaimRefusal.UNREACHABLE -> unreachable()
            ClaimRefusal.NO_RIGHT -> refused(RefusalReason.NOT_IN_SERVICE, Step.CLAIM, "this instance may not act", RETRY_AFTER_MS)
            ClaimRefusal.FULL -> refused(RefusalReason.OVERLOADED, Step.CLAIM, "too many request ids are remembered", RETRY_AFTER_MS)
        }

    /** Refuses a request that could outlive its claim: after the claim expired, the request could run a second time concurrently. */
    private fun deadlineTooLong(maxDurationMs: Long) =
        refused(
            RefusalReason.DEADLINE_UNREACHABLE,
            Step.CLAIM,
            "a deadline of $maxDurationMs ms is not below claimTtlMs ${timing.claimTtlMs}",
        )

    private fun unreachable() =
        refused(
            RefusalReason.CLAIM_UNREACHABLE,
            Step.CLAIM,
            "too few instances could tell whether this request id ran before",
            RETRY_AFTER_MS,
        )

    private companion object {
        const val TIMEOUT_MARGIN_MS = 20L
        const val RETRY_AFTER_MS = 500L

        /** The workspace id used for requests without a workspace. It is not a valid id in a configuration document. */
        val OPEN_ROUTES = WorkspaceId("~open")
    }
}
