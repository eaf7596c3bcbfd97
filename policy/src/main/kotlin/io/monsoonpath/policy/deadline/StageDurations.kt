package io.monsoonpath.policy.deadline

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.concurrent.atomic.AtomicReference

/**
 * The distribution of a stage's durations over about the last minute; immutable.
 *
 * @property meanMs the mean, in milliseconds
 * @property medianMs the median, in milliseconds
 * @property p95Ms the 95th percentile, in milliseconds
 * @property p99Ms the 99th percentile, in milliseconds
 * @property count the number of observed durations; 0 if the summary was derived from the configured duration
 */
data class DurationSummary(
    val meanMs: Double,
    val medianMs: Double,
    val p95Ms: Double,
    val p99Ms: Double,
    val count: Long,
)

/** Returns the summary to use until enough durations have been observed, derived from the configured [expectedMs]. */
fun expectedDuration(expectedMs: Long): DurationSummary =
    DurationSummary(
        meanMs = expectedMs.toDouble(),
        medianMs = expectedMs.toDouble(),
        p95Ms = 2.0 * expectedMs,
        p99Ms = 3.0 * expectedMs,
        count = 0,
    )

/**
 * Records the durations of one stage.
 *
 * Any thread can call [record] and read [summary]. One controller calls [rotate] about once per second.
 *
 * @param expectedMs the configured duration in milliseconds, used until [MIN_COUNT] durations have been observed
 */
class StageDurations(
    expectedMs: Long,
) {
    private val recorder = Recorder(MAX_DURATION_MS, SIGNIFICANT_DIGITS)
    private val windows = ArrayDeque<Histogram>()
    private val configured = expectedDuration(expectedMs)
    private val published = AtomicReference(configured)
    private var windowStartMs: Long? = null

    /** The latest published summary. */
    val summary: DurationSummary get() = published.get()

    /** Records a duration; values above ten minutes count as ten minutes. */
    fun record(durationMs: Long) = recorder.recordValue(durationMs.coerceIn(0, MAX_DURATION_MS))

    /** Merges the recorded durations into the current window, drops expired windows, and publishes a new summary. */
    fun rotate(nowMs: Long) {
        val startMs = windowStartMs
        if (startMs == null || nowMs - startMs >= WINDOW_MS) {
            windows.addLast(Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS))
            if (windows.size > WINDOW_COUNT) windows.removeFirst()
            windowStartMs = nowMs
        }
        windows.last().add(recorder.intervalHistogram)
        val total = Histogram(MAX_DURATION_MS, SIGNIFICANT_DIGITS)
        windows.forEach { total.add(it) }
        published.set(if (total.totalCount < MIN_COUNT) configured else total.toSummary())
    }

    private companion object {
        const val MAX_DURATION_MS = 600_000L
        const val SIGNIFICANT_DIGITS = 2
        const val WINDOW_MS = 10_000L
        const val WINDOW_COUNT = 6
        const val MIN_COUNT = 20
    }
}

private fun Histogram.toSummary(): DurationSummary =
    DurationSummary(
        meanMs = mean,
        medianMs = getValueAtPercentile(50.0).toDouble(),
        p95Ms = getValueAtPercentile(95.0).toDouble(),
        p99Ms = getValueAtPercentile(99.0).toDouble(),
        count = totalCount,
    )
