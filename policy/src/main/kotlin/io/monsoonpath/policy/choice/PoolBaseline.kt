package io.monsoonpath.policy.choice

/**
 * The typical duration of one request on an idle server of a pool at the usual pace, learned from measured durations. Not thread-safe.
 *
 * It makes durations of different servers comparable, so that a server that reports a low pace but takes long is recognized.
 */
class PoolBaseline {
    /** The smoothed duration in milliseconds, or null before the first measurement. */
    var durationMsOrNull: Double? = null
        private set

    /**
     * Records a measured duration and returns its ratio to the expected one.
     *
     * @param factor the factor by which the load and the pace of the server were expected to prolong the request
     */
    fun record(
        durationMs: Double,
        factor: Double,
    ): Double {
        val normalMs = durationMs.coerceAtLeast(1.0) / factor
        val baselineMs = durationMsOrNull ?: normalMs
        durationMsOrNull = baselineMs + SMOOTHING * (normalMs.coerceAtMost(baselineMs * MAX_STEP) - baselineMs)
        return normalMs / baselineMs
    }

    private companion object {
        /** The weight of the newest duration. */
        const val SMOOTHING = 0.05

        /** One request that hangs for seconds must not change the baseline of the pool. */
        const val MAX_STEP = 4.0
    }
}
