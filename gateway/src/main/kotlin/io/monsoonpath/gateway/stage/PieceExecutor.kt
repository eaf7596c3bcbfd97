package io.monsoonpath.gateway.stage

import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** Has pieces made, here or by the instance that batches for their pool. */
interface PieceExecutor {
    /** Has [pieces] of one stage made; [done] hears what becomes of each. */
    fun execute(
        pieces: List<Piece>,
        done: (PieceId, PieceResult) -> Unit,
    )

    /** Says that [count] pieces of [request] will follow in [pool], and how late they may start. */
    fun expect(
        pool: PoolId,
        request: RequestId,
        count: Int,
        startByMs: Long,
    )

    /** Drops what is queued or expected for [request] in [pools]; its pieces are heard of no more. */
    fun cancel(
        request: RequestId,
        pools: Set<PoolId>,
    )

    /** Gives up the results of [pool] named by [handles]. */
    fun release(
        pool: PoolId,
        handles: List<String>,
    )

    /** Returns how long [pool] needs for the pieces that wait or are expected and can be on time, in milliseconds, as far as known. */
    fun backlogMs(pool: PoolId): Long
}
