package io.monsoonpath.policy.deadline

import kotlin.math.sqrt

/** Whether a stage may start, and for how long it may run. */
sealed interface StageVerdict {
    /**
     * The stage may run.
     *
     * @property budgetMs the time after which the later stages could no longer make the deadline
     */
    data class Run(
        val budgetMs: Long,
    ) : StageVerdict

    /**
     * The deadline cannot be met, so that the stage is refused before it costs anything.
     *
     * @property neededMs the time that the remaining stages rarely exceed, with the wait before them
     * @property leftMs the time that is left
     */
    data class Hopeless(
        val neededMs: Long,
        val leftMs: Long,
    ) : StageVerdict
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
    private val neededMs = tails(stages) { tail -> tail.sumOf { it.medianMs } }
    private val reservedMs = tails(stages) { tail -> tail.sumOf { it.meanMs } + deviationMs(tail) }

    /** The number of stages. */
    val size: Int = stages.size

    /** Returns the time that [stage], counted from 0, and all later ones usually take. */
    fun neededMs(stage: Int): Double = neededMs[stage]

    /** Returns the time that [stage] and all later ones rarely exceed: work that starts with less is probably wasted. */
    fun safeMs(stage: Int): Double = reservedMs[stage]

    /**
     * Returns whether [stage] may start.
     *
     * @param waitMs the wait that is still expected before it starts
     */
    fun verdict(
        stage: Int,
        nowMs: Long,
        deadlineAtMs: Long,
        waitMs: Double = 0.0,
    ): StageVerdict {
        val leftMs = deadlineAtMs - nowMs
        val needed = reservedMs[stage] + waitMs * WAIT_MARGIN
        if (leftMs <= 0 || needed > leftMs) return StageVerdict.Hopeless(needed.toLong(), leftMs)
        val budgetMs = leftMs - minOf(reservedMs[stage + 1], leftMs * MAX_RESERVED_SHARE)
        return StageVerdict.Run(budgetMs.toLong().coerceAtLeast(1))
    }

    /** Returns whether a running [stage] is to be cancelled: the later stages no longer fit into what is left. */
    fun isHopeless(
        stage: Int,
        nowMs: Long,
        deadlineAtMs: Long,
    ): Boolean = deadlineAtMs - nowMs <= neededMs[stage + 1]

    private companion object {
        const val MAX_RESERVED_SHARE = 0.9

        /**
         * Requests in earlier stages will join the queue too, and whatever gives up in a late stage has cost the earlier ones: work is
         * taken in only if it would also bear a longer wait.
         */
        const val WAIT_MARGIN = 3.0
    }
}

private inline fun tails(
    stages: List<DurationSummary>,
    sum: (List<DurationSummary>) -> Double,
): DoubleArray = DoubleArray(stages.size + 1) { i -> sum(stages.subList(i, stages.size)) }

private fun deviationMs(stages: List<DurationSummary>): Double =
    sqrt(stages.sumOf { (it.p95Ms - it.meanMs).coerceAtLeast(0.0).let { d -> d * d } })
