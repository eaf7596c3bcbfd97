package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.stage.expectedStageMs
import io.monsoonpath.policy.batch.AdmissionDecision
import io.monsoonpath.policy.batch.StageEstimate
import io.monsoonpath.policy.batch.decideAdmission

/** Decides whether the stages of a request can be completed in time, and logs the decision with what it rests on. */
internal class StageAdmission(
    private val context: RequestContext,
    private val services: RequestServices,
) {
    private val route = context.route

    /** Returns the decision for the present load of the pools. */
    fun decide(): AdmissionDecision {
        val stages = expectedStages()
        val decision = decideAdmission(stages, route.targetLatencyMs, EXPECTED_CALL_MS, context.rank, context.head.id.hashCode())
        log(decision, stages)
        return decision
    }

    private fun expectedStages(): List<StageEstimate> =
        route.stages.mapIndexed { i, stage ->
            val workMs = expectedStageMs(context.table.poolOf(stage.pool), context.head.stagePieceCounts.getOrElse(i) { 1 })
            val waitMs = services.pieceExecutor.backlogMs(stage.pool)
            StageEstimate(stage.after, workMs, waitMs, services.standingQueues.observe(stage.pool, waitMs, services.clock.nowMs()))
        }

    private fun log(
        decision: AdmissionDecision,
        stages: List<StageEstimate>,
    ) = services.log.line(
        if (decision is AdmissionDecision.Admit) "request.admitted" else "request.not-admitted",
        "request" to context.head.id,
        "expectedMs" to decision.expectedMs,
        "targetMs" to route.targetLatencyMs,
        "waitsMs" to stages.map { it.waitMs },
        "standing" to stages.any { it.hasStandingQueue },
        "rank" to context.rank,
        "retryAfterMs" to (decision as? AdmissionDecision.Refuse)?.retryAfterMs,
    )

    companion object {
        /** The time from a call to the first event of an engine under ordinary load, in milliseconds. */
        const val EXPECTED_CALL_MS = 250L
    }
}
