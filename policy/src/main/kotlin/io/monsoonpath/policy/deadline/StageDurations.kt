package io.monsoonpath.policy.deadline

import org.HdrHistogram.Histogram
import org.HdrHistogram.Recorder
import java.util.concurrent.atomic.AtomicReference

/**
 * The distribution of a stage's durations over the last minute or so; immutable.
 *
 * @property meanMs the mean
 * @property medianMs the duration that half do not exceed
 * @property p95Ms the duration that 95 in 100 do not exceed
 * @property p99Ms the duration that 99 in 100 do not exceed
 * @property count the number of durations it rests on; 0 where it is the configured expectation
 */
data class DurationSummary(
    val meanMs: Double,
    val medianMs: Double,
    val p95Ms: Double,
    val p99Ms: Double,
    val count: Long,
)

/** Returns the summary that stands until enough durations were observed. */
fun expectedDuration(expectedMs: Long): DurationSummary =
    DurationSummary(
        meanMs = expectedMs.toDouble(),
        medianMs = expectedMs.toDouble(),
        p95Ms = 2.0 * expectedMs,
        p99Ms = 3.0 * expectedMs,
        count = 0,
    )

/**
 * The observed durations of one stage.
 *
 * Any thread may [record]; one controller calls [rotate] about once a second; any thread reads [summary].
 *
 * @param expectedMs the configured duration, used until [MIN_COUNT] durations were observed
 */
class StageDurations(
    expectedMs: Long,
) {
    private val recorder = Recorder(MAX_DURATION_MS, SIGNIFICANT_DIGITS)
    private val windows = ArrayDeque<Histogram>()
    private val configured = expectedDuration(expectedMs)
    private val published = AtomicReference(configured)
    private var windowStartMs: Long? = null

    /** The latest summary. */
    val summary: DurationSummary get() = published.get()

    /** Notes a duration; one above ten minutes counts as ten minutes. */
    fun record(durationMs: Long) = recorder.recordValue(durationMs.coerceIn(0, MAX_DURATION_MS))

    /** Takes in what was recorded, drops what is too old, and publishes a new summary. */
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
