package io.monsoonpath.policy.fairness

/** The virtual time as it was a while ago. */
internal class VirtualTimeHistory {
    private val samples = ArrayDeque(listOf(Sample(Long.MIN_VALUE / 2, 0.0)))

    /** Notes that the virtual time is [virtualMs] from [nowMs] on. */
    fun record(
        nowMs: Long,
        virtualMs: Double,
    ) {
        val last = samples.last()
        if (nowMs - last.atMs < SAMPLE_MS) last.virtualMs = virtualMs else samples.addLast(Sample(nowMs, virtualMs))
        discardOld(nowMs)
    }

    /** Returns the virtual time of [CREDIT_MS] before [nowMs]. */
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
        /** How far back an idle workspace's share is kept for it. */
        const val CREDIT_MS = 5_000L
        private const val SAMPLE_MS = 200L
    }
}
