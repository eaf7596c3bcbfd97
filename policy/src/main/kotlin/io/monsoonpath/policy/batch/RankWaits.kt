package io.monsoonpath.policy.batch

import kotlin.math.exp

/** The number of distinguished ranks; less urgent ones count as the last. */
internal const val RANKS = 8

/**
 * The share of a pool's capacity that is kept for less urgent ranks while they have work, so that none of them is starved. With a quarter,
 * the most urgent rank is late more often in the replay of an overload.
 */
const val RESERVED_SHARE = 0.15

internal fun rankIndex(rank: Int): Int = rank.coerceIn(0, RANKS - 1)

/** The rate at which pieces of each rank arrive at a pool, smoothed over about a second. Not thread-safe. */
internal class PieceArrivals {
    private val counts = DoubleArray(RANKS)
    private var atMs = 0L

    /** Records [count] pieces of [rank] that were queued or announced at [nowMs]. */
    fun record(
        rank: Int,
        count: Int,
        nowMs: Long,
    ) {
        decay(nowMs)
        counts[rankIndex(rank)] += count.toDouble()
    }

    /** Returns the pieces per millisecond of each rank at [nowMs]. */
    fun ratesPerMs(nowMs: Long): DoubleArray {
        decay(nowMs)
        return DoubleArray(RANKS) { counts[it] / SMOOTHING_MS }
    }

    private fun decay(nowMs: Long) {
        if (nowMs <= atMs) return
        val factor = exp(-(nowMs - atMs) / SMOOTHING_MS)
        for (i in counts.indices) counts[i] *= factor
        atMs = nowMs
    }

    private companion object {
        /** Long enough to include some requests of each kind, and shorter than a target. */
        const val SMOOTHING_MS = 1_000.0
    }
}

/**
 * Returns for each rank how long a new piece waits in a pool that is filled by rank, in milliseconds.
 *
 * Load pattern: requests of several ranks arrive at twice the rate that the pool sustains. A piece waits only for the backlog of its own
 * and of more urgent ranks, but the capacity that clears it is reduced: by the work of more urgent ranks that arrives meanwhile, and, for
 * the most urgent rank, by the share kept for the others. A less urgent rank waits no longer than the reserved share takes for the
 * backlog of all ranks that use it.
 *
 * @param backlog the queued and expected pieces of each rank
 * @param arrivalsPerMs the pieces of each rank that arrive per millisecond
 * @param msPerPiece the time that the pool takes for each piece
 */
internal fun waitsByRankMs(
    backlog: IntArray,
    arrivalsPerMs: DoubleArray,
    msPerPiece: Double,
): List<Long> {
    val totalMs = backlog.sum() * msPerPiece
    var aheadMs = 0.0
    var reservedMs = 0.0
    var urgentShare = 0.0
    return backlog.indices.map { rank ->
        aheadMs += backlog[rank] * msPerPiece
        if (rank > 0) reservedMs += backlog[rank] * msPerPiece
        val waitMs =
            if (rank == 0) {
                minOf(totalMs, aheadMs / (1 - RESERVED_SHARE))
            } else {
                minOf(aheadMs / maxOf(RESERVED_SHARE, 1 - urgentShare), reservedMs / RESERVED_SHARE)
            }
        urgentShare += arrivalsPerMs[rank] * msPerPiece
        waitMs.toLong()
    }
}
