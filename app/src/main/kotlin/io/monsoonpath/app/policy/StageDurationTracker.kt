package io.monsoonpath.app.policy

import io.monsoonpath.app.request.StageDeadlines
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step
import io.monsoonpath.policy.deadline.DeadlinePlan
import io.monsoonpath.policy.deadline.StageDecision
import io.monsoonpath.policy.deadline.StageDurations
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Tracks the observed durations of all stages. This class is thread-safe. */
internal class StageDurationTracker(
    private val clock: ClockMs,
) {
    private val durations = ConcurrentHashMap<StageSpec, StageDurations>()
    private val rotatedAtMs = AtomicLong(Long.MIN_VALUE / 2)

    /** Returns the observed durations of [stage]. */
    fun of(stage: StageSpec): StageDurations = durations[stage] ?: durations.computeIfAbsent(stage) { StageDurations(it.expectedMs) }

    /** Updates the duration summaries, at most once every [ROTATE_MS] milliseconds. */
    fun refresh() {
        val nowMs = clock.nowMs()
        val lastMs = rotatedAtMs.get()
        if (nowMs - lastMs >= ROTATE_MS && rotatedAtMs.compareAndSet(lastMs, nowMs)) {
            synchronized(this) { durations.values.forEach { it.rotate(nowMs) } }
        }
    }

    private companion object {
        const val ROTATE_MS = 1_000L
    }
}

/**
 * Returns stage deadlines that give each stage the time that the later stages are not expected to need.
 *
 * A request that probably cannot complete in time is refused once durations of all its remaining stages have been observed.
 */
internal fun plannedStageDeadlines(durations: StageDurationTracker) =
    StageDeadlines { pipeline, index, remainingMs ->
        durations.refresh()
        val plan = planOf(pipeline, durations)
        when (val decision = plan.decide(index, nowMs = 0, deadlineAtMs = remainingMs)) {
            is StageDecision.Run -> Outcome.Ok(decision.budgetMs.coerceAtMost(remainingMs))
            is StageDecision.DeadlineUnreachable ->
                if (hasObservations(pipeline, index, durations)) unreachable(decision) else Outcome.Ok(remainingMs)
        }
    }

private fun planOf(
    pipeline: PipelineSpec,
    durations: StageDurationTracker,
) = DeadlinePlan(pipeline.stages.map { durations.of(it).summary })

private fun hasObservations(
    pipeline: PipelineSpec,
    index: Int,
    durations: StageDurationTracker,
) = pipeline.stages.drop(index).all { durations.of(it).summary.count > 0 }

private fun unreachable(decision: StageDecision.DeadlineUnreachable): Outcome<Long> {
    val detail = "the remaining stages need ${decision.neededMs} ms and ${decision.remainingMs} ms are left"
    return refused(RefusalReason.DEADLINE_UNREACHABLE, Step.DEADLINE, detail)
}
