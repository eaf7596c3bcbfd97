package io.monsoonpath.policy.deadline

import kotlin.math.abs

/**
 * Decides which requests an instance that is shutting down still begins.
 *
 * Load pattern: callers go on using their open connections for seconds after the shutdown has begun. A request that takes longer than the
 * process has left would be cut off, although another instance could serve it. A short one is served as usual, on an estimate. Once callers
 * are led to other instances, few requests arrive, and each is begun only if it ends in time whatever happens. Not thread-safe.
 */
class ShutdownAdmission {
    private class Duration(
        var meanMs: Double,
        var deviationMs: Double,
    )

    private val durations = HashMap<String, Duration>()

    private var endsAtMs: Long? = null
    private var lateFromMs = Long.MAX_VALUE

    /** Begins the shutdown of the process, which ends at [endsAtMs]. Requests that arrive from [lateFromMs] on are late. */
    fun begin(
        endsAtMs: Long,
        lateFromMs: Long,
    ) {
        this.endsAtMs = endsAtMs
        this.lateFromMs = lateFromMs
    }

    /** Records that work of [kind] took [durationMs] milliseconds. */
    fun record(
        kind: String,
        durationMs: Long,
    ) {
        val known = durations[kind]
        if (known == null) {
            durations[kind] = Duration(durationMs.toDouble(), durationMs / 2.0)
        } else {
            known.deviationMs += (abs(durationMs - known.meanMs) - known.deviationMs) * DEVIATION_WEIGHT
            known.meanMs += (durationMs - known.meanMs) * MEAN_WEIGHT
        }
    }

    /**
     * Returns whether work of [kind] that begins at [nowMs] is likely to end before the process does.
     *
     * @param deviations how many deviations longer than on average the work may take; more for work that can't be given up later
     * @param longestMs the time that it may take at most, which is assumed if no such work has ended yet or if its request was late
     * @param receivedAtMs when its request arrived
     */
    fun canComplete(
        kind: String,
        longestMs: Long,
        nowMs: Long,
        deviations: Double,
        receivedAtMs: Long,
    ): Boolean {
        val endsAtMs = endsAtMs ?: return true
        val known = durations[kind].takeIf { receivedAtMs < lateFromMs }
        val expectedMs = known?.let { it.meanMs + it.deviationMs * deviations } ?: longestMs.toDouble()
        return nowMs + minOf(expectedMs, longestMs.toDouble()) <= endsAtMs
    }

    /** Deviations for [canComplete]. */
    companion object {
        /** For a whole request, which can still be refused after its stages. Covers about 85 of 100 durations. */
        const val REQUEST_DEVIATIONS = 1.0

        /** For a call to a backend server, which would be cut off. Covers about 95 of 100 durations. */
        const val CALL_DEVIATIONS = 2.0

        // The weights of the round-trip time estimator of RFC 6298.
        private const val MEAN_WEIGHT = 0.125
        private const val DEVIATION_WEIGHT = 0.25
    }
}
