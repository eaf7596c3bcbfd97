package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.choice.BackendSelector
import io.monsoonpath.gateway.choice.RetryBudgets
import io.monsoonpath.gateway.choice.WithheldBackends
import io.monsoonpath.gateway.crash.CrashProtection
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.http.BackendCodec
import io.monsoonpath.gateway.http.BackendConnectionPools
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.room.PoolRooms
import io.monsoonpath.gateway.stage.PieceExecutor
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.policy.batch.StandingQueueDetector
import io.monsoonpath.policy.deadline.ShutdownAdmission
import io.monsoonpath.policy.retry.RetryAfterPolicy

/** Limits repeated attempts, by this system with [budgets] and by callers with [afterPolicy]. */
class RetryLimits(
    val budgets: RetryBudgets,
    val afterPolicy: RetryAfterPolicy,
)

/** Holds the components that serve requests. */
class RequestServices(
    val clock: ClockMs,
    val scheduler: Scheduler,
    val directory: BackendDirectory,
    val connectionPools: BackendConnectionPools,
    val loads: BackendLoads,
    val selector: BackendSelector,
    val retries: RetryLimits,
    val standingQueues: StandingQueueDetector,
    val shutdownAdmission: ShutdownAdmission,
    val codec: BackendCodec,
    val pieceExecutor: PieceExecutor,
    val crashes: CrashProtection,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val rooms: PoolRooms,
) {
    /** Returns the expected time from a call to the first byte of the response to the request of [context], in milliseconds. */
    internal fun expectedCallMs(context: RequestContext): Long = rooms.expectedCallMs(context.pool, context.head)

    /** Logs that no backend server of [pool] can take [request] now, partly because of their notices. */
    internal fun logWithheld(
        request: RequestId,
        pool: PoolId,
        withheld: WithheldBackends,
    ) = log.line(
        "request.no-backend",
        "request" to request,
        "pool" to pool,
        "leaving" to withheld.leavingCount,
        "paused" to withheld.pausedCount,
        "oldestNoticeMs" to withheld.oldestNoticeMs,
        "waitMs" to withheld.waitMs,
    )
}
