package io.monsoonpath.policy.choice

/**
 * Takes slow and failing servers out of the choice for a while, but never more than a share of the pool.
 *
 * A server is an outlier after [FAILURES_IN_ROW] failures in a row, or when it takes [SLOW_RATIO] times as long as the pool's
 * median server. Each ejection that follows soon after the last one is twice as long. Single-threaded: one controller owns it.
 */
class OutlierEjection {
    private val strikes = HashMap<TrackedBackend, Strike>()

    /** Ejects the outliers among [backends], the worst first; returns those that were ejected now. */
    fun update(
        backends: List<TrackedBackend>,
        nowMs: Long,
    ): List<TrackedBackend> {
        val medianSlowness = median(backends.map { it.slowness(nowMs) })
        val room = (backends.size * MAX_EJECTED_SHARE).toInt() - backends.count { it.isEjected(nowMs) }
        val outliers =
            backends
                .filter { !it.isEjected(nowMs) && it.isOutlier(medianSlowness, nowMs) }
                .sortedByDescending { it.slowness(nowMs) + it.failuresInRow }
                .take(room.coerceAtLeast(0))
        outliers.forEach { it.eject(nowMs + nextDurationMs(it, nowMs)) }
        strikes.keys.retainAll(backends.toSet())
        return outliers
    }

    private fun nextDurationMs(
        backend: TrackedBackend,
        nowMs: Long,
    ): Long {
        val last = strikes[backend]
        val recent = last != null && nowMs - last.untilMs < FORGIVEN_AFTER_MS
        val durationMs = if (last != null && recent) minOf(last.durationMs * 2, MAX_EJECTION_MS) else FIRST_EJECTION_MS
        strikes[backend] = Strike(nowMs + durationMs, durationMs)
        return durationMs
    }

    private fun TrackedBackend.isOutlier(
        medianSlowness: Double,
        nowMs: Long,
    ): Boolean = failuresInRow >= FAILURES_IN_ROW || (observations >= MIN_OBSERVATIONS && slowness(nowMs) > SLOW_RATIO * medianSlowness)

    private class Strike(
        val untilMs: Long,
        val durationMs: Long,
    )

    private companion object {
        const val FAILURES_IN_ROW = 5
        const val SLOW_RATIO = 3.0
        const val MIN_OBSERVATIONS = 8L
        const val MAX_EJECTED_SHARE = 0.34
        const val FIRST_EJECTION_MS = 3_000L
        const val MAX_EJECTION_MS = 60_000L
        const val FORGIVEN_AFTER_MS = 60_000L
    }
}

private fun median(values: List<Double>): Double = if (values.isEmpty()) 1.0 else values.sorted()[values.size / 2]
