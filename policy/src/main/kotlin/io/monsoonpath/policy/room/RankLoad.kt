package io.monsoonpath.policy.room

import kotlin.math.exp

/** The work of the requests that were admitted recently, by rank, as the number of places that it keeps busy. */
internal class RankLoad {
    private val workMs = DoubleArray(RANKS)
    private var decayedAtMs = 0L

    /** Records an admitted request of [rank] that will hold its place for [costMs]. */
    fun record(
        rank: Int,
        costMs: Double,
        nowMs: Long,
    ) {
        decay(nowMs)
        workMs[rank] += costMs
    }

    /** Returns the number of places that the requests of ranks below [rank] keep busy. */
    fun below(
        rank: Int,
        nowMs: Long,
    ): Double {
        decay(nowMs)
        var sum = 0.0
        for (i in 0 until rank) sum += workMs[i]
        return sum / WINDOW_MS
    }

    private fun decay(nowMs: Long) {
        if (nowMs == decayedAtMs) return
        val factor = exp((decayedAtMs - nowMs) / WINDOW_MS)
        for (i in workMs.indices) workMs[i] *= factor
        decayedAtMs = nowMs
    }

    private companion object {
        const val RANKS = 16

        /** Long enough for a few arrivals of each kind at one instance, short against a burst of some seconds. */
        const val WINDOW_MS = 1_000.0
    }
}
