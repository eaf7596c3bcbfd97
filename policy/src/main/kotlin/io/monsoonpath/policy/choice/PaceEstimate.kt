package io.monsoonpath.policy.choice

import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates how much longer than usual work takes on one server, from the paces that it reports.
 *
 * Machines differ in speed over long periods, and their pace deviates from its mean for short ones. The estimate is a slowly moving mean
 * plus the latest deviation from it, which decays over the time scale of [change]. Reports without a plausible pace are tolerated: after
 * [MAX_MISSING] in a row, or [MAX_AGE_MS] after the last plausible one, the pace is unknown. Not thread-safe.
 *
 * Designed for a report every 50 to 2,000 ms, and paces that deviate for a fraction of a second at a time.
 *
 * @param change how fast the paces of the server's pool change; shared by the estimates of the pool
 */
class PaceEstimate(
    private val change: PaceChange,
) {
    private var count = 0
    private var missing = 0
    private var mean = UNKNOWN
    private var latest = UNKNOWN
    private var latestAtMs = 0L

    /**
     * Records the reported [pacePercent], or that a report states none if it is null.
     *
     * @return whether the pace is plausible; one that is not counts as missing
     */
    fun record(
        pacePercent: Int?,
        nowMs: Long,
    ): Boolean {
        if (pacePercent == null || pacePercent !in PLAUSIBLE_PERCENT) {
            recordMissing()
            return false
        }
        if (!isKnown(nowMs)) count = 0
        missing = 0
        val pace = pacePercent / PERCENT
        val gapMs = (nowMs - latestAtMs).coerceAtLeast(0)
        if (count > 0) change.record(latest - mean, pace - mean, gapMs)
        // Initially the plain average of the reports, so that the first one alone does not determine it.
        mean += (pace - mean) * maxOf(1 - exp(-minOf(gapMs, MAX_GAP_MS) / MEAN_DECAY_MS), 1.0 / (count + 1))
        count++
        latest = pace
        latestAtMs = nowMs
        return true
    }

    private fun recordMissing() {
        missing++
        if (missing >= MAX_MISSING) count = 0
    }

    /** Returns whether the server has recently reported a plausible pace. */
    fun isKnown(nowMs: Long): Boolean = count > 0 && nowMs - latestAtMs <= MAX_AGE_MS

    /** Returns the expected duration of work at [nowMs], relative to the usual one; 1.0 if unknown. */
    fun factor(nowMs: Long): Double {
        if (!isKnown(nowMs)) return UNKNOWN
        return mean + (latest - mean) * change.remainder(nowMs - latestAtMs)
    }

    /** Returns the mean duration of work over several seconds, relative to the usual one; 1.0 if unknown. */
    fun meanFactor(nowMs: Long): Double = if (isKnown(nowMs)) mean else UNKNOWN

    /** Returns the age of the last plausible pace in milliseconds, or null if the pace is unknown. */
    fun ageMsOrNull(nowMs: Long): Long? = if (isKnown(nowMs)) nowMs - latestAtMs else null

    private companion object {
        const val UNKNOWN = 1.0
        const val PERCENT = 100.0

        /** No machine is ten times as fast as usual, and one that takes fifty times as long has in effect stopped. */
        val PLAUSIBLE_PERCENT = 10..5_000
        const val MEAN_DECAY_MS = 10_000.0

        /** A single report after a long gap replaces at most a tenth of the mean. */
        const val MAX_GAP_MS = 1_000L

        /** A single malformed report is tolerated. */
        const val MAX_MISSING = 3

        /** The speed of a machine persists over this time, whereas its short deviations have decayed. */
        const val MAX_AGE_MS = 10_000L
    }
}

/**
 * The time scale over which the paces of a pool change, learned from the correlation of consecutive reports of the same server.
 *
 * Deviations of an unknown time scale decay over [INITIAL_TIME_SCALE_MS]. Not thread-safe.
 */
class PaceChange {
    private var variance = INITIAL_VARIANCE
    private var covariance = INITIAL_VARIANCE * exp(-INITIAL_GAP_MS / INITIAL_TIME_SCALE_MS)
    private var gapMs = INITIAL_GAP_MS

    /** The time in milliseconds over which a deviation falls to 37 %. */
    var timeScaleMs = INITIAL_TIME_SCALE_MS
        private set

    /** Records two consecutive deviations of the pace of one server from its mean, [gapMs] apart. */
    fun record(
        before: Double,
        after: Double,
        gapMs: Long,
    ) {
        if (gapMs !in INFORMATIVE_GAP_MS) return
        variance += WEIGHT * (before * before - variance)
        covariance += WEIGHT * (before * after - covariance)
        this.gapMs += WEIGHT * (gapMs - this.gapMs)
        if (variance < MIN_VARIANCE) return
        val correlation = (covariance / variance).coerceIn(MIN_CORRELATION, MAX_CORRELATION)
        timeScaleMs = (-this.gapMs / ln(correlation)).coerceIn(MIN_TIME_SCALE_MS, MAX_TIME_SCALE_MS)
    }

    /** Returns the part of a deviation that is expected to remain after [ageMs]. */
    fun remainder(ageMs: Long): Double = exp(-ageMs.coerceAtLeast(0) / timeScaleMs)

    private companion object {
        const val INITIAL_TIME_SCALE_MS = 400.0
        const val INITIAL_GAP_MS = 300.0
        const val INITIAL_VARIANCE = 0.2

        /** The weight of the newest pair of reports: some fifty pairs determine the time scale. */
        const val WEIGHT = 0.02

        /** Pairs that are closer together than this mostly repeat one state, and after the longest gap nothing remains to learn from. */
        val INFORMATIVE_GAP_MS = 20L..2_000L

        /** Below this, all paces are within a few percent of their mean and their time scale does not matter. */
        const val MIN_VARIANCE = 1e-4
        const val MIN_CORRELATION = 0.01
        const val MAX_CORRELATION = 0.98
        const val MIN_TIME_SCALE_MS = 50.0
        const val MAX_TIME_SCALE_MS = 5_000.0
    }
}
