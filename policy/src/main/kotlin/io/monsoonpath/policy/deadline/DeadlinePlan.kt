package io.monsoonpath.policy.deadline

import kotlin.math.sqrt

/** Whether a stage may start, and for how long it may run. */
sealed interface StageDecision {
    /**
     * The stage may run.
     *
     * @property budgetMs the time after which the later stages could no longer make the deadline
     */
    data class Run(
        val budgetMs: Long,
    ) : StageDecision

    /**
     * The deadline cannot be met, so that the stage is refused before it costs anything.
     *
     * @property neededMs the time that the remaining stages rarely exceed, with the wait before them
     * @property remainingMs the time that is left
     */
    data class DeadlineUnreachable(
        val neededMs: Long,
        val remainingMs: Long,
    ) : StageDecision
}

/**
 * The expected durations of a pipeline's remaining stages, for each stage; immutable.
 *
 * Sums of single quantiles would be far too large, because stages are not all slow at once. The tail adds the means, and the distances
 * from mean to quantile as independent deviations.
 *
 * @param stages the summaries of all stages in order
 */
class DeadlinePlan(
    stages: List<DurationSummary>,
) {
    private val typicalMs = suffixSums(stages) { suffix -> suffix.sumOf { it.medianMs } }
    private val conservativeMs = suffixSums(stages) { suffix -> suffix.sumOf { it.meanMs } + deviationMs(suffix) }

    /** The number of stages. */
    val size: Int = stages.size

    /** Returns the time that [stage], counted from 0, and all later ones usually take. */
    fun typicalMs(stage: Int): Double = typicalMs[stage]

    /** Returns the time that [stage] and all later ones rarely exceed: work that starts with less is probably wasted. */
    fun conservativeMs(stage: Int): Double = conservativeMs[stage]

    /**
     * Returns whether [stage] may start.
     *
     * @param waitMs the wait that is still expected before it starts
     */
    fun decide(
        stage: Int,
        nowMs: Long,
        deadlineAtMs: Long,
        waitMs: Double = 0.0,
    ): StageDecision {
        val remainingMs = deadlineAtMs - nowMs
        val neededMs = conservativeMs[stage] + waitMs * WAIT_SAFETY_FACTOR
        if (remainingMs <= 0 || neededMs > remainingMs) return StageDecision.DeadlineUnreachable(neededMs.toLong(), remainingMs)
        val budgetMs = remainingMs - minOf(conservativeMs[stage + 1], remainingMs * MAX_RESERVED_SHARE)
        return StageDecision.Run(budgetMs.toLong().coerceAtLeast(1))
    }

    /** Returns whether a running [stage] is to be cancelled: the later stages no longer fit into what is left. */
    fun isDeadlineUnreachable(
        stage: Int,
        nowMs: Long,
        deadlineAtMs: Long,
    ): Boolean = deadlineAtMs - nowMs <= typicalMs[stage + 1]

    private companion object {
        const val MAX_RESERVED_SHARE = 0.9

        /**
         * Requests in earlier stages will join the queue too, and whatever gives up in a late stage has cost the earlier ones: work is
         * taken in only if it would also bear a longer wait.
         */
        const val WAIT_SAFETY_FACTOR = 3.0
    }
}

private inline fun suffixSums(
    stages: List<DurationSummary>,
    sum: (List<DurationSummary>) -> Double,
): DoubleArray = DoubleArray(stages.size + 1) { i -> sum(stages.subList(i, stages.size)) }

private fun deviationMs(stages: List<DurationSummary>): Double =
    sqrt(stages.sumOf { (it.p95Ms - it.meanMs).coerceAtLeast(0.0).let { d -> d * d } })
