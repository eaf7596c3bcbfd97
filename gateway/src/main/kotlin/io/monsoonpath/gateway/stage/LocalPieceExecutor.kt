package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/**
 * Batches pieces on this instance, both its own and those that other instances forward to it.
 *
 * @param isSoleBatcher returns whether no other instance sends calls to the workers of a pool that this instance batches for
 */
class LocalPieceExecutor(
    private val configuration: ConfigurationHolder,
    private val directory: BackendDirectory,
    private val gate: BackendGate,
    private val sender: BatchSender,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val isSoleBatcher: (PoolId) -> Boolean,
    private val log: DecisionLog,
) : PieceExecutor {
    private val batchers = HashMap<PoolId, PoolBatcher>()

    init {
        directory.onChange { id -> directory[id]?.let { batchers[it.pool]?.dispatch() } }
    }

    override fun execute(
        pieces: List<Piece>,
        onResult: (PieceId, PieceResult) -> Unit,
    ) {
        for ((pool, poolPieces) in pieces.groupBy { it.pool }) batcherOf(pool).add(poolPieces, onResult)
    }

    override fun expect(
        pool: PoolId,
        request: RequestId,
        count: Int,
        latestStartMs: Long,
    ) = batcherOf(pool).expect(request, count, latestStartMs)

    override fun cancel(
        request: RequestId,
        pools: Set<PoolId>,
    ) = pools.forEach { batchers[it]?.cancel(request) }

    override fun release(
        pool: PoolId,
        handles: List<String>,
    ) {
        batcherOf(pool).release(handles)
    }

    override fun backlogMs(pool: PoolId): Long = batchers[pool]?.backlogMs() ?: 0

    private fun batcherOf(pool: PoolId) =
        batchers.getOrPut(pool) {
            PoolBatcher(
                pool,
                { configuration.current?.poolOf(pool)?.batching },
                directory,
                gate,
                sender,
                clock,
                scheduler,
                { isSoleBatcher(pool) },
                log,
            )
        }
}
