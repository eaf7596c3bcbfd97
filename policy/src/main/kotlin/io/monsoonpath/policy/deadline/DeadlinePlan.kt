package io.monsoonpath.policy.deadline

import kotlin.math.sqrt

/** The decision whether a stage can start, and for how long it can run. */
sealed interface StageDecision {
    /**
     * The stage can run.
     *
     * @property budgetMs the time after which the later stages could no longer meet the deadline, in milliseconds
     */
    data class Run(
        val budgetMs: Long,
    ) : StageDecision

    /**
     * The deadline cannot be met, so that the stage is refused before it has cost anything.
     *
     * @property neededMs the time that the remaining stages rarely exceed, including the wait before them, in milliseconds
     * @property remainingMs the time until the deadline, in milliseconds
     */
    data class DeadlineUnreachable(
        val neededMs: Long,
        val remainingMs: Long,
    ) : StageDecision
}

/**
 * The expected durations of the remaining stages of a pipeline, from each stage on; immutable.
 *
 * A sum of the quantiles of all stages would be far too large, because the stages are not all slow at once. The conservative estimate
 * adds the means, and combines the distances from mean to quantile as independent deviations.
 *
 * @param stages the duration summaries of all stages in order
 */
class DeadlinePlan(
    stages: List<DurationSummary>,
) {
    private val typicalMs = suffixSums(stages) { suffix -> suffix.sumOf { it.medianMs } }
    private val conservativeMs = suffixSums(stages) { suffix -> suffix.sumOf { it.meanMs } + deviationMs(suffix) }

    /** The number of stages. */
    val size: Int = stages.size

    /** Returns the time that [stage], counted from 0, and all later ones typically take, in milliseconds; 0 for [size]. */
    fun typicalMs(stage: Int): Double = typicalMs[stage]

    /**
     * Returns the time that [stage] and all later ones rarely exceed, in milliseconds: work that starts with less time left is probably
     * wasted.
     */
    fun conservativeMs(stage: Int): Double = conservativeMs[stage]

    /**
     * Returns whether [stage] can start.
     *
     * @param waitMs the expected wait before the stage starts, in milliseconds
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

    /** Returns whether a running [stage] has to be cancelled, because the time left is too short for the later stages. */
    fun isDeadlineUnreachable(
        stage: Int,
        nowMs: Long,
        deadlineAtMs: Long,
    ): Boolean = deadlineAtMs - nowMs <= typicalMs[stage + 1]

    private companion object {
        const val MAX_RESERVED_SHARE = 0.9

        /**
         * Requests in earlier stages will join the queue too, and a request that fails in a late stage wastes its earlier stages. Work
         * is therefore accepted only if it would still fit after a longer wait.
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
