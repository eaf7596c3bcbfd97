package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.stage.Backlogs
import io.monsoonpath.gateway.stage.LocalPieceExecutor
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceExecutor
import io.monsoonpath.gateway.stage.PieceId
import io.monsoonpath.gateway.stage.PieceInput
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/**
 * Sends pieces to the instance that batches for their pool, and batches here what is this instance's duty.
 *
 * When the batching instance is lost or the duty moves, pieces without a result are sent to the next one: a piece may be made twice,
 * which costs work and nothing else.
 */
internal class SharedPieceMaker(
    private val own: Address,
    private val mesh: PeerMesh,
    private val membership: Membership,
    private val local: LocalPieceExecutor,
    private val backlogs: Backlogs,
    private val clock: ClockMs,
    private val log: DecisionLog,
) : PieceExecutor,
    PeerListener {
    private class Pending(
        val piece: Piece,
        val holder: String,
        val done: (PieceId, PieceResult) -> Unit,
    )

    private val pending = HashMap<PieceId, Pending>()

    /** For each request the instances that expect pieces of it. */
    private val expecting = HashMap<RequestId, MutableMap<PoolId, String>>()

    init {
        membership.onChange(::reassign)
        mesh.listen(this)
    }

    override fun backlogMs(pool: PoolId): Long =
        if (membership.holderOf(pool.value) == own.host) local.backlogMs(pool) else backlogs.of(pool)

    override fun execute(
        pieces: List<Piece>,
        onResult: (PieceId, PieceResult) -> Unit,
    ) {
        for ((pool, found) in pieces.groupBy { it.pool }) {
            found.mapTo(HashSet()) { it.id.request }.forEach { arrived(pool, it) }
            atHolder(pool, here = { local.execute(found, onResult) }, there = { order(pool, it, found, onResult) })
        }
    }

    private inline fun atHolder(
        pool: PoolId,
        here: () -> Unit,
        there: (String) -> Unit,
    ) {
        val holder = membership.holderOf(pool.value)
        if (holder == own.host) here() else there(holder)
    }

    override fun expect(
        pool: PoolId,
        request: RequestId,
        count: Int,
        latestStartMs: Long,
    ) = atHolder(
        pool,
        here = { local.expect(pool, request, count, latestStartMs) },
        there = { holder ->
            expecting.getOrPut(request) { HashMap() }[pool] = holder
            mesh.to(holder).send(PeerMessage.Expect(pool.value, request.value, count, latestStartMs - clock.nowMs()))
        },
    )

    /** Forgets that [pool] expects pieces of [request], since they come now. */
    private fun arrived(
        pool: PoolId,
        request: RequestId,
    ) {
        val pools = expecting[request] ?: return
        pools.remove(pool)
        if (pools.isEmpty()) expecting.remove(request)
    }

    private fun order(
        pool: PoolId,
        holder: String,
        pieces: List<Piece>,
        done: (PieceId, PieceResult) -> Unit,
    ) {
        pieces.forEach { pending[it.id] = Pending(it, holder, done) }
        val nowMs = clock.nowMs()
        mesh.to(holder).send(PeerMessage.Make(pool.value, pieces.map { orderOf(it, nowMs) }))
    }

    override fun cancel(
        request: RequestId,
        pools: Set<PoolId>,
    ) {
        local.cancel(request, pools)
        val found = pending.values.filter { it.piece.id.request == request }
        found.forEach { pending.remove(it.piece.id) }
        val queued = found.map { it.holder to it.piece.pool }
        val expected = expecting.remove(request).orEmpty().map { (pool, holder) -> holder to pool }
        (queued + expected).distinct().groupBy({ it.first }, { it.second.value }).forEach { (holder, poolsThere) ->
            mesh.to(holder).send(PeerMessage.Cancel(request.value, poolsThere))
        }
    }

    override fun release(
        pool: PoolId,
        handles: List<String>,
    ) = atHolder(
        pool,
        here = { local.release(pool, handles) },
        there = { mesh.to(it).send(PeerMessage.Release(pool.value, handles)) },
    )

    override fun received(
        from: PeerChannel,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.Make -> accept(from, message)
            is PeerMessage.Made -> {
                backlogs.report(PoolId(message.pool), message.backlogMs)
                message.pieces.forEach { settle(from, PoolId(message.pool), it) }
            }
            is PeerMessage.Expect ->
                local.expect(
                    PoolId(message.pool),
                    RequestId(message.request),
                    message.pieces,
                    clock.nowMs() + message.startWithinMs,
                )
            is PeerMessage.Cancel -> local.cancel(RequestId(message.request), message.pools.mapTo(HashSet()) { PoolId(it) })
            is PeerMessage.Release -> local.release(PoolId(message.pool), message.handles)
            is PeerMessage.AskDocuments, is PeerMessage.Documents -> Unit
        }
    }

    private fun accept(
        from: PeerChannel,
        message: PeerMessage.Make,
    ) {
        val nowMs = clock.nowMs()
        val pieces = message.pieces.map { pieceOf(it, PoolId(message.pool), nowMs) }
        local.execute(pieces) { id, result ->
            from.send(PeerMessage.Made(message.pool, local.backlogMs(PoolId(message.pool)), listOf(reportOf(id, result))))
        }
    }

    private fun settle(
        from: PeerChannel,
        pool: PoolId,
        report: PieceReport,
    ) {
        val id = PieceId(RequestId(report.request), report.stage, report.segment)
        val result =
            when {
                report.handle != null -> PieceResult.Completed(report.handle)
                report.failure != null -> PieceResult.Failed(report.failure)
                else -> PieceResult.Started
            }
        val found = pending[id]
        // A former holder's failure says nothing of the try under way; what it has made is as good as any.
        if (found != null && found.holder != from.host && result !is PieceResult.Completed) return
        if (result != PieceResult.Started) pending.remove(id)
        when {
            found != null -> found.done(id, result)
            // Its request is over, or another instance made the piece too.
            result is PieceResult.Completed -> release(pool, listOf(result.handle))
        }
    }

    override fun lost(peer: PeerChannel) {
        val found = pending.values.filter { it.holder == peer.host }
        if (found.isEmpty()) return
        log.line("batcher.lost", "peer" to peer.host, "pieces" to found.size)
        found.forEach(::resend)
    }

    /**
     * The connection may stand while its peer is dead or cut off. A holder that is leaving still makes what it has: sending that to
     * the next one too would have both release and read the same inputs.
     */
    private fun reassign() {
        val live = membership.live.mapTo(HashSet()) { it.host }
        val moved = pending.values.filter { it.holder !in live }
        moved.map { it.holder }.distinct().forEach(mesh::drop)
        moved.forEach(::resend)
    }

    private fun resend(found: Pending) {
        val piece = found.piece
        if (pending.remove(piece.id) == null) return
        val holder = membership.holderOf(piece.pool.value)
        // Until the others notice that the holder is gone, its pieces are batched here.
        if (holder == own.host || holder == found.holder) {
            local.execute(listOf(piece), found.done)
        } else {
            order(piece.pool, holder, listOf(piece), found.done)
        }
    }

    private fun orderOf(
        piece: Piece,
        nowMs: Long,
    ) = PieceOrder(
        request = piece.id.request.value,
        stage = piece.id.stage,
        segment = piece.id.segment,
        key = (piece.input as? PieceInput.Key)?.key,
        inputs = (piece.input as? PieceInput.Results)?.handles,
        resultBytes = piece.resultBytes,
        domain = piece.domain?.value,
        startWithinMs = piece.latestStartMs - nowMs,
        uselessAfterMs = piece.expiresAtMs - nowMs,
    )

    private fun pieceOf(
        order: PieceOrder,
        pool: PoolId,
        nowMs: Long,
    ) = Piece(
        id = PieceId(RequestId(order.request), order.stage, order.segment),
        pool = pool,
        input = order.inputs?.let { PieceInput.Results(it) } ?: PieceInput.Key(order.key.orEmpty()),
        resultBytes = order.resultBytes,
        domain = order.domain?.let(::FailureDomain),
        latestStartMs = nowMs + order.startWithinMs,
        expiresAtMs = nowMs + order.uselessAfterMs,
    )

    private fun reportOf(
        id: PieceId,
        result: PieceResult,
    ) = when (result) {
        is PieceResult.Completed -> PieceReport(id.request.value, id.stage, id.segment, handle = result.handle)
        PieceResult.Started -> PieceReport(id.request.value, id.stage, id.segment)
        is PieceResult.Failed -> PieceReport(id.request.value, id.stage, id.segment, failure = result.reason)
    }
}
