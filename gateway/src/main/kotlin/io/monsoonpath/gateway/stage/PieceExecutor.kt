package io.monsoonpath.gateway.stage

import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** Executes pieces on stage workers, through this instance or the one that batches for their pool. */
interface PieceExecutor {
    /** Executes [pieces] of one stage and passes the status reports of each to [onResult]. */
    fun execute(
        pieces: List<Piece>,
        onResult: (PieceId, PieceResult) -> Unit,
    )

    /** Announces [count] later pieces of [request] of [rank] in [pool], with the latest start [latestStartMs] in milliseconds. */
    fun expect(
        pool: PoolId,
        request: RequestId,
        count: Int,
        latestStartMs: Long,
        rank: Int,
    )

    /** Removes the queued and expected pieces of [request] in [pools]; they are not reported any more. */
    fun cancel(
        request: RequestId,
        pools: Set<PoolId>,
    )

    /** Releases the results of [pool] identified by [handles]. */
    fun release(
        pool: PoolId,
        handles: List<String>,
    )

    /** Returns the estimated time in milliseconds that [pool] needs for queued and expected pieces that can still start in time. */
    fun backlogMs(pool: PoolId): Long

    /** Returns what new pieces of [pool] can expect, or null if the pool is not filled by rank. */
    fun forecast(pool: PoolId): PoolForecast?
}
