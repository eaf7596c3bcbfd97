package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.config.Stage
import io.monsoonpath.gateway.stage.PieceExecutor
import io.monsoonpath.gateway.stage.expectedStageMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.batch.AdmissionDecision
import io.monsoonpath.policy.batch.StageEstimate
import io.monsoonpath.policy.batch.StandingQueueDetector
import io.monsoonpath.policy.batch.decideAdmission

/** Decides whether the stages of a request can be completed in time, and logs the decision with what it rests on. */
internal class StageAdmission(
    private val context: RequestContext,
    private val services: RequestServices,
) {
    private val route = context.route

    /** Returns the decision for the present load of the pools. */
    fun decide(): AdmissionDecision {
        val stages =
            estimateStages(
                route.stages,
                context.head.stagePieceCounts,
                context.table::poolOf,
                services.pieceExecutor,
                services.standingQueues,
                context.rank,
                services.clock.nowMs(),
            )
        val decision = stages.decide(route.targetLatencyMs, services.expectedCallMs(context), context.rank, context.head.id.hashCode())
        log(decision, stages.estimates, stages.isRanked)
        return decision
    }

    private fun log(
        decision: AdmissionDecision,
        stages: List<StageEstimate>,
        isRanked: Boolean,
    ) = services.log.line(
        if (decision is AdmissionDecision.Admit) "request.admitted" else "request.not-admitted",
        "request" to context.head.id,
        "expectedMs" to decision.expectedMs,
        "targetMs" to route.targetLatencyMs,
        "waitsMs" to stages.map { it.waitMs },
        "standing" to stages.any { it.hasStandingQueue },
        "rank" to context.rank,
        "byRank" to isRanked,
        "retryAfterMs" to (decision as? AdmissionDecision.Refuse)?.retryAfterMs,
    )
}

/**
 * The expected load of the stages of a request.
 *
 * @property isRanked whether the waits are those of the request's rank in all pools
 */
internal class StageEstimates(
    val estimates: List<StageEstimate>,
    val isRanked: Boolean,
) {
    /** Decides whether the request is admitted. Waits by rank already prefer urgent requests, so its rank does not count again. */
    fun decide(
        targetMs: Long,
        callMs: Long,
        rank: Int,
        seed: Int,
    ): AdmissionDecision {
        val decision = decideAdmission(estimates, targetMs, callMs, if (isRanked) 0 else rank, seed)
        val isRankedRefusal = isRanked && decision is AdmissionDecision.Refuse
        return if (isRankedRefusal) decision.copy(retryAfterMs = decision.retryAfterMs * RANKED_RETRY_FACTOR) else decision
    }

    private companion object {
        /** More urgent requests take most of the capacity meanwhile, so a wait shrinks by a fraction of the time that passes. */
        const val RANKED_RETRY_FACTOR = 4
    }
}

/** Returns the present waits and the durations of [stages] with [pieceCounts] pieces for a request of [rank]. */
internal fun estimateStages(
    stages: List<Stage>,
    pieceCounts: List<Int>,
    poolOf: (PoolId) -> Pool?,
    executor: PieceExecutor,
    standingQueues: StandingQueueDetector,
    rank: Int,
    nowMs: Long,
): StageEstimates {
    val forecasts = stages.map { executor.forecast(it.pool) }
    val estimates =
        stages.mapIndexed { i, stage ->
            val backlogMs = executor.backlogMs(stage.pool)
            val hasStandingQueue = standingQueues.observe(stage.pool, backlogMs, nowMs)
            val forecast = forecasts[i]
            val workMs = expectedStageMs(poolOf(stage.pool), pieceCounts.getOrElse(i) { 1 }, isPaced = forecast != null)
            StageEstimate(stage.after, workMs, forecast?.waitMs(rank) ?: backlogMs, hasStandingQueue)
        }
    return StageEstimates(estimates, isRanked = forecasts.all { it != null })
}
