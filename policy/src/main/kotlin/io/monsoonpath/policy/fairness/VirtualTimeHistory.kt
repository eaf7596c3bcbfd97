package io.monsoonpath.policy.fairness

/** Recent values of the virtual time of a [FairShareQueue], for reading the value of [CREDIT_MS] ago. */
internal class VirtualTimeHistory {
    private val samples = ArrayDeque(listOf(Sample(Long.MIN_VALUE / 2, 0.0)))

    /** Records that the virtual time is [virtualMs] from [nowMs] on. */
    fun record(
        nowMs: Long,
        virtualMs: Double,
    ) {
        val last = samples.last()
        if (nowMs - last.atMs < SAMPLE_MS) last.virtualMs = virtualMs else samples.addLast(Sample(nowMs, virtualMs))
        discardOld(nowMs)
    }

    /** Returns the virtual time at [CREDIT_MS] before [nowMs]. */
    fun valueBefore(nowMs: Long): Double {
        discardOld(nowMs)
        return samples.first().virtualMs
    }

    private fun discardOld(nowMs: Long) {
        while (samples.size > 1 && nowMs - samples[1].atMs >= CREDIT_MS) samples.removeFirst()
    }

    private class Sample(
        val atMs: Long,
        var virtualMs: Double,
    )

    internal companion object {
        /** The period for which an idle workspace keeps its unused share. */
        const val CREDIT_MS = 5_000L
        private const val SAMPLE_MS = 200L
    }
}
