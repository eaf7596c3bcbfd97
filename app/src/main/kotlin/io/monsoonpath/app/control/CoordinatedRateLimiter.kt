package io.monsoonpath.app.control

import io.monsoonpath.app.request.RateLimiter
import io.monsoonpath.app.request.RateToken
import io.monsoonpath.app.request.refused
import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.units.Charge
import io.monsoonpath.coordination.units.LimitDecision
import io.monsoonpath.coordination.units.LimitQuery
import io.monsoonpath.coordination.units.RateLimits
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step
import io.monsoonpath.model.WorkspaceSpec
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/**
 * Applies the rate limits of workspaces across all instances.
 *
 * A request is charged to the tokens held by this instance without waiting if there are enough, and otherwise to tokens
 * requested from peers within bounded time.
 *
 * @param submit posts an operation to the control loop, which executes the effects that the operation returns
 */
internal class CoordinatedRateLimiter(
    private val limits: RateLimits,
    private val clock: ClockMs,
    private val peerTimeoutMs: Long,
    private val submit: (() -> List<Effect>) -> Unit,
) : RateLimiter {
    private val pending = ConcurrentHashMap<LimitQuery, CompletableDeferred<LimitDecision>>()

    override suspend fun acquire(
        workspace: WorkspaceSpec,
        deadlineAtMs: Long,
    ): Outcome<RateToken> =
        when (val decision = limits.acquire(clock, workspace.id)) {
            is LimitDecision.NeedPeers -> acquireFromPeers(decision.query, deadlineAtMs)
            else -> outcomeOf(decision)
        }

    /** Handles the decision for a query. The charge of an admission that no request waits for is refunded. */
    fun onDecided(
        query: LimitQuery,
        decision: LimitDecision,
    ) {
        val pendingDecision = pending.remove(query)
        if (pendingDecision == null) refundIfAdmitted(decision) else pendingDecision.complete(decision)
    }

    private suspend fun acquireFromPeers(
        query: LimitQuery,
        deadlineAtMs: Long,
    ): Outcome<RateToken> {
        val pendingDecision = CompletableDeferred<LimitDecision>()
        pending[query] = pendingDecision
        submit { limits.startQuery(clock.nowMs(), query) }
        val decision =
            try {
                val waitMs = minOf(peerTimeoutMs + TIMEOUT_MARGIN_MS, deadlineAtMs - clock.nowMs())
                withTimeoutOrNull(waitMs) { pendingDecision.await() } ?: stopWaiting(query, pendingDecision)
            } catch (e: CancellationException) {
                stopWaiting(query, pendingDecision)?.let { refundIfAdmitted(it) }
                throw e
            }
        if (decision is LimitDecision.Admitted && !query.isInTime(clock.nowMs(), peerTimeoutMs)) {
            refundIfAdmitted(decision)
            return unreachable(null)
        }
        return if (decision == null) unreachable(null) else outcomeOf(decision)
    }

    /** Stops waiting for the decision, and returns it if it has arrived concurrently. */
    private suspend fun stopWaiting(
        query: LimitQuery,
        pendingDecision: CompletableDeferred<LimitDecision>,
    ): LimitDecision? = if (pending.remove(query) == null) withContext(NonCancellable) { pendingDecision.await() } else null

    private fun outcomeOf(decision: LimitDecision): Outcome<RateToken> =
        when (decision) {
            is LimitDecision.Admitted -> Outcome.Ok(RateToken { refund(decision.charge) })
            is LimitDecision.RateLimited ->
                refused(RefusalReason.RATE_LIMITED, Step.RATE, "the workspace is above its rate", decision.retryAfterMs)
            is LimitDecision.Unreachable -> unreachable(decision.peer?.value)
            is LimitDecision.NeedPeers -> unreachable(null)
        }

    private fun unreachable(peer: String?) =
        refused(RefusalReason.LIMIT_UNREACHABLE, Step.RATE, "the workspace's rate could not be checked", RETRY_AFTER_MS, peer)

    private fun refundIfAdmitted(decision: LimitDecision) {
        if (decision is LimitDecision.Admitted) refund(decision.charge)
    }

    private fun refund(charge: Charge) = submit { limits.refund(clock.nowMs(), charge) }

    private companion object {
        const val TIMEOUT_MARGIN_MS = 20L
        const val RETRY_AFTER_MS = 500L
    }
}
