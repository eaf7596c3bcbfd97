package io.monsoonpath.policy

import org.HdrHistogram.Histogram

/** The observed durations of one stage. */
class StageDurations {
    private val histogram = Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS)

    /** Notes a duration; one above ten minutes counts as ten minutes. */
    fun record(durationMs: Long) = histogram.recordValue(durationMs.coerceIn(0, MAX_DURATION_MS))

    /** Returns the duration that [share] of the observations do not exceed, or null before the first one. */
    fun quantileMsOrNull(share: Double): Long? = if (histogram.totalCount == 0L) null else histogram.getValueAtPercentile(share * PERCENT)

    private companion object {
        const val MAX_DURATION_MS = 600_000L
        const val SIGNIFICANT_DIGITS = 2
        const val PERCENT = 100.0
    }
}
