package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.stage.Backlogs
import io.monsoonpath.gateway.stage.LocalPieceExecutor
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceExecutor
import io.monsoonpath.gateway.stage.PieceId
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.gateway.stage.PoolForecast
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/**
 * Forwards pieces to the instance that owns their pool and batches for it, and executes the pieces of pools that this instance owns.
 *
 * When the connection to the owner is lost or the owner is no longer live, pieces without a result are sent to the next owner. A piece
 * may therefore be executed twice, which costs capacity but does not affect correctness. In paced pools, the former owner withdraws the
 * pieces that are still queued once it sees that the connection was closed.
 */
internal class DistributedPieceExecutor(
    private val localAddress: Address,
    private val connections: PeerConnections,
    private val owners: PoolOwners,
    private val local: LocalPieceExecutor,
    private val backlogs: Backlogs,
    private val clock: ClockMs,
    scheduler: Scheduler,
    private val log: DecisionLog,
) : PieceExecutor,
    PeerListener {
    private class PendingPiece(
        val piece: Piece,
        val owner: String,
        val onResult: (PieceId, PieceResult) -> Unit,
    )

    private val pending = HashMap<PieceId, PendingPiece>()
    private val peerPieces = PeerPieces()
    private val reportBuffer =
        ReportBuffer<PeerConnection>(scheduler) { receiver, pool, reports ->
            val id = PoolId(pool)
            reportPieces(pool, local.backlogMs(id), reports, local.forecast(id)?.waitsByRankMs).forEach(receiver::send)
        }

    /** The owners that were told to expect pieces, by request and pool. */
    private val expectingOwners = HashMap<RequestId, MutableMap<PoolId, String>>()

    init {
        owners.watchPaths { pending.values.mapTo(HashSet()) { it.owner } }
        owners.onChange(::reassignAll)
        connections.addListener(this)
    }

    override fun backlogMs(pool: PoolId): Long = if (owners.ownerOf(pool) == localAddress.host) local.backlogMs(pool) else backlogs.of(pool)

    override fun forecast(pool: PoolId): PoolForecast? =
        if (owners.ownerOf(pool) == localAddress.host) local.forecast(pool) else backlogs.forecastOf(pool)

    override fun execute(
        pieces: List<Piece>,
        onResult: (PieceId, PieceResult) -> Unit,
    ) {
        for ((pool, poolPieces) in pieces.groupBy { it.pool }) {
            poolPieces.mapTo(HashSet()) { it.id.request }.forEach { clearExpectation(pool, it) }
            withOwner(pool, onLocal = { local.execute(poolPieces, onResult) }, onRemote = { forward(pool, it, poolPieces, onResult) })
        }
    }

    private inline fun withOwner(
        pool: PoolId,
        onLocal: () -> Unit,
        onRemote: (String) -> Unit,
    ) {
        val owner = owners.ownerOf(pool)
        if (owner == localAddress.host) onLocal() else onRemote(owner)
    }

    override fun expect(
        pool: PoolId,
        request: RequestId,
        count: Int,
        latestStartMs: Long,
        rank: Int,
    ) = withOwner(
        pool,
        onLocal = { local.expect(pool, request, count, latestStartMs, rank) },
        onRemote = { owner ->
            expectingOwners.getOrPut(request) { HashMap() }[pool] = owner
            val startWithinMs = latestStartMs - clock.nowMs()
            val message = PeerMessage.ExpectPieces(pool.value, request.value, count, startWithinMs, if (isPaced(pool)) rank else 0)
            connections.connectionTo(owner).send(message)
        },
    )

    /** Removes the expectation of [pool] for pieces of [request], because they are being sent now. */
    private fun clearExpectation(
        pool: PoolId,
        request: RequestId,
    ) {
        val pools = expectingOwners[request] ?: return
        pools.remove(pool)
        if (pools.isEmpty()) expectingOwners.remove(request)
    }

    private fun forward(
        pool: PoolId,
        owner: String,
        pieces: List<Piece>,
        onResult: (PieceId, PieceResult) -> Unit,
    ) {
        pieces.forEach { pending[it.id] = PendingPiece(it, owner, onResult) }
        val nowMs = clock.nowMs()
        for (message in executePieces(pool.value, pieces.map { specOf(it, nowMs, isPaced(pool)) })) {
            if (!connections.connectionTo(owner).send(message)) executeUnsent(message, onResult)
        }
    }

    /** Executes the pieces of a [message] that is too long to be sent. */
    private fun executeUnsent(
        message: PeerMessage.ExecutePieces,
        onResult: (PieceId, PieceResult) -> Unit,
    ) = local.execute(message.completePieces.mapNotNull { pending.remove(idOf(it))?.piece }, onResult)

    override fun cancel(
        request: RequestId,
        pools: Set<PoolId>,
    ) {
        local.cancel(request, pools)
        val cancelled = pending.values.filter { it.piece.id.request == request }
        cancelled.forEach { pending.remove(it.piece.id) }
        val queued = cancelled.map { it.owner to it.piece.pool }
        val expected = expectingOwners.remove(request).orEmpty().map { (pool, owner) -> owner to pool }
        (queued + expected).distinct().groupBy({ it.first }, { it.second.value }).forEach { (owner, remotePools) ->
            connections.connectionTo(owner).send(PeerMessage.CancelPieces(request.value, remotePools))
        }
    }

    override fun release(
        pool: PoolId,
        handles: List<String>,
    ) = withOwner(
        pool,
        onLocal = { local.release(pool, handles) },
        onRemote = { connections.connectionTo(it).send(PeerMessage.ReleaseResults(pool.value, handles)) },
    )

    override fun onMessage(
        from: PeerConnection,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.ExecutePieces -> executeForPeer(from, message)
            is PeerMessage.ReportPieces -> {
                recordLoad(message)
                message.completePieces.forEach { handleReport(from, PoolId(message.pool), it) }
            }
            is PeerMessage.ExpectPieces ->
                local.expect(
                    PoolId(message.pool),
                    RequestId(message.request),
                    message.pieces,
                    clock.nowMs() + message.startWithinMs,
                    message.rank,
                )
            is PeerMessage.CancelPieces -> {
                val pools = message.pools.mapTo(HashSet()) { PoolId(it) }
                peerPieces.remove(RequestId(message.request), pools)
                local.cancel(RequestId(message.request), pools)
            }
            is PeerMessage.ReleaseResults -> local.release(PoolId(message.pool), message.handles)
            is PeerMessage.RequestDocuments,
            is PeerMessage.SendDocuments,
            is PeerMessage.ForwardDocuments,
            is PeerMessage.ReportSource,
            is PeerMessage.ReportDemand,
            is PeerMessage.GrantShare,
            -> Unit
        }
    }

    private fun recordLoad(message: PeerMessage.ReportPieces) {
        val pool = PoolId(message.pool)
        val forecast = message.waitsByRankMs?.let { PoolForecast(it) }
        backlogs.report(pool, message.backlogMs, forecast)
        if (forecast != null) local.recordPaced(pool)
    }

    private fun executeForPeer(
        from: PeerConnection,
        message: PeerMessage.ExecutePieces,
    ) {
        val nowMs = clock.nowMs()
        val pool = PoolId(message.pool)
        val pieces = message.completePieces.map { pieceOf(it, pool, nowMs) }
        pieces.forEach { peerPieces.add(from, it.id.request, pool) }
        local.execute(pieces) { id, result ->
            if (result != PieceResult.Started) peerPieces.recordEnd(from, id.request, pool)
            if (from.isOpen || local.forecast(pool) == null) {
                reportBuffer.add(from, message.pool, reportOf(id, result))
            } else if (result is PieceResult.Completed) {
                local.release(pool, listOf(result.handle))
            }
        }
    }

    /**
     * Withdraws the queued pieces of paced pools that were received on [connection]: their instance has ended, or has sent them to another
     * owner.
     */
    override fun onPeerClosed(connection: PeerConnection) {
        val orphaned = peerPieces.removeAll(connection).filterKeys { local.forecast(it.pool) != null }
        if (orphaned.isEmpty()) return
        log.line("batcher.peer-closed", "peer" to connection.host, "requests" to orphaned.size, "pieces" to orphaned.values.sum())
        orphaned.keys.filterNot(peerPieces::contains).forEach { local.cancel(it.request, setOf(it.pool)) }
    }

    private fun handleReport(
        from: PeerConnection,
        pool: PoolId,
        report: PieceReport,
    ) {
        val id = PieceId(RequestId(report.request), report.stage, report.segment)
        val result = report.toResult()
        val pendingPiece = pending[id]
        // A failure reported by a former owner does not concern the current attempt, but its result is usable.
        if (pendingPiece != null && pendingPiece.owner != from.host && result !is PieceResult.Completed) return
        if (result != PieceResult.Started) pending.remove(id)
        when {
            pendingPiece != null -> pendingPiece.onResult(id, result)
            // The request has ended, or another instance has already completed the piece.
            result is PieceResult.Completed -> release(pool, listOf(result.handle))
        }
    }

    override fun onDisconnect(connection: PeerConnection) {
        val affected = pending.values.filter { it.owner == connection.host }
        if (affected.isEmpty()) return
        log.line("batcher.lost", "peer" to connection.host, "pieces" to affected.size, "silent" to connection.hasGoneSilent)
        if (connection.hasGoneSilent) sendAgain(affected) else reassign(affected)
    }

    /**
     * Sends [lost] pieces over new connections to the owners that have them already. These withdraw what they have queued, as they may
     * not notice that the former connections are silent.
     */
    private fun sendAgain(lost: List<PendingPiece>) {
        val (returning, moved) = lost.partition { owners.ownerOf(it.piece.pool) == it.owner }
        for ((target, pieces) in returning.filter { pending.remove(it.piece.id, it) }.groupBy { it.piece.pool to it.owner }) {
            val (pool, owner) = target
            val connection = connections.connectionTo(owner)
            pieces.map { it.piece.id.request }.distinct().forEach {
                connection.send(PeerMessage.CancelPieces(it.value, listOf(pool.value)))
            }
            forwardAgain(pool, owner, pieces)
        }
        reassign(moved)
    }

    /**
     * Reassigns the pieces of owners that are no longer live, or that this instance does not reach both ways. Their connections are closed
     * explicitly, because a connection can stay open while its peer is dead or partitioned. An owner that is shutting down still executes
     * its pieces: if they were also sent to the next owner, both would read and release the same inputs.
     */
    private fun reassignAll() {
        val liveHosts = owners.liveHosts
        val orphaned = pending.values.filter { it.owner !in liveHosts || it.owner in owners.unreachableHosts }
        orphaned.map { it.owner }.distinct().forEach(connections::disconnect)
        reassign(orphaned)
    }

    /**
     * Sends [lost] pieces to the present owners of their pools.
     *
     * Closing a connection reassigns its pieces at once, so those that already have an owner are skipped. The pieces of a pool are sent
     * together: one by one, each would repeat what it has in common with others, and the first calls would contain one piece each.
     */
    private fun reassign(lost: List<PendingPiece>) =
        lost
            .filter { pending.remove(it.piece.id, it) }
            .groupBy { it.piece.pool to it.owner }
            .forEach { (target, pieces) -> reassign(target.first, target.second, pieces) }

    private fun reassign(
        pool: PoolId,
        formerOwner: String,
        lost: List<PendingPiece>,
    ) {
        val owner = owners.ownerOf(pool)
        // As long as the membership still names the lost owner, its pieces are executed here.
        if (owner == localAddress.host || owner == formerOwner) {
            local.execute(lost.map { it.piece }, listenerOf(lost))
        } else {
            forwardAgain(pool, owner, lost)
        }
    }

    private fun forwardAgain(
        pool: PoolId,
        owner: String,
        lost: List<PendingPiece>,
    ) = forward(pool, owner, lost.map { it.piece }, listenerOf(lost))

    private fun listenerOf(pieces: List<PendingPiece>): (PieceId, PieceResult) -> Unit {
        val listeners = pieces.associate { it.piece.id to it.onResult }
        return { id, result -> listeners.getValue(id)(id, result) }
    }

    /** Returns whether the owner fills [pool] by rank. To other pools, messages are sent as instances without ranks know them. */
    private fun isPaced(pool: PoolId) = backlogs.forecastOf(pool) != null
}
