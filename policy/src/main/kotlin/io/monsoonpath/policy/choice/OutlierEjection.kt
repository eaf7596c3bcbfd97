package io.monsoonpath.policy.choice

/**
 * Temporarily excludes slow and failing servers from selection, up to a maximum share of the pool.
 *
 * A server is an outlier after [MIN_CONSECUTIVE_FAILURES] consecutive failures, or if it takes more than [SLOW_RATIO] times as long as
 * the pool's median server. The duration of an ejection doubles, up to [MAX_EJECTION_MS], if the previous one ended recently. Not
 * thread-safe.
 */
class OutlierEjection {
    private val lastEjections = HashMap<TrackedBackend, Ejection>()

    /** Ejects the outliers among [backends], the worst first, and returns the newly ejected servers. */
    fun update(
        backends: List<TrackedBackend>,
        nowMs: Long,
    ): List<TrackedBackend> {
        val medianSlowness = median(backends.map { it.slowness(nowMs) })
        val remaining = (backends.size * MAX_EJECTED_SHARE).toInt() - backends.count { it.isEjected(nowMs) }
        val outliers =
            backends
                .filter { !it.isEjected(nowMs) && it.isOutlier(medianSlowness, nowMs) }
                .sortedByDescending { it.slowness(nowMs) + it.consecutiveFailures }
                .take(remaining.coerceAtLeast(0))
        outliers.forEach { it.eject(nowMs + nextDurationMs(it, nowMs)) }
        lastEjections.keys.retainAll(backends.toSet())
        return outliers
    }

    private fun nextDurationMs(
        backend: TrackedBackend,
        nowMs: Long,
    ): Long {
        val last = lastEjections[backend]
        val isRecent = last != null && nowMs - last.untilMs < BACKOFF_RESET_MS
        val durationMs = if (last != null && isRecent) minOf(last.durationMs * 2, MAX_EJECTION_MS) else FIRST_EJECTION_MS
        lastEjections[backend] = Ejection(nowMs + durationMs, durationMs)
        return durationMs
    }

    private fun TrackedBackend.isOutlier(
        medianSlowness: Double,
        nowMs: Long,
    ): Boolean =
        consecutiveFailures >= MIN_CONSECUTIVE_FAILURES ||
            (observations >= MIN_OBSERVATIONS && slowness(nowMs) > SLOW_RATIO * medianSlowness)

    private class Ejection(
        val untilMs: Long,
        val durationMs: Long,
    )

    private companion object {
        const val MIN_CONSECUTIVE_FAILURES = 5
        const val SLOW_RATIO = 3.0
        const val MIN_OBSERVATIONS = 8L
        const val MAX_EJECTED_SHARE = 0.34
        const val FIRST_EJECTION_MS = 3_000L
        const val MAX_EJECTION_MS = 60_000L
        const val BACKOFF_RESET_MS = 60_000L
    }
}

private fun median(values: List<Double>): Double = if (values.isEmpty()) 1.0 else values.sorted()[values.size / 2]
