package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
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
    private val loads: BackendLoads,
    private val sender: BatchSender,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val isSoleBatcher: (PoolId) -> Boolean,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) : PieceExecutor {
    private val batchers = HashMap<PoolId, PoolBatcher>()

    /** The pools of which another instance has reported that their workers state a pace, while it batched for them. */
    private val pacedElsewhere = HashSet<PoolId>()

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
        rank: Int,
    ) = batcherOf(pool).expect(request, count, latestStartMs, rank)

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

    override fun forecast(pool: PoolId): PoolForecast? = if (isPaced(pool)) batcherOf(pool).forecast() else null

    /** Records that the instance that batches for [pool] fills it by rank, so that this one does too if it takes over. */
    fun recordPaced(pool: PoolId) {
        pacedElsewhere += pool
    }

    /** Workers of stages may state no pace while the servers of the calls that follow do. Both then compete for the same requests. */
    private fun isPaced(pool: PoolId) =
        loads.isPaced(pool) ||
            pool in pacedElsewhere ||
            configuration.current
                ?.callPoolsAfter(pool)
                .orEmpty()
                .any(loads::isPaced)

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
                WorkerPaces({ isPaced(pool) }, loads::paceFactor),
                metrics,
            )
        }
}
