package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.message.chunkedBySize
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceId
import io.monsoonpath.gateway.stage.PieceInput
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/*
 * A caller may state many pieces, and a long id and key for all of them. Messages about pieces are therefore bounded: they are split, and
 * what the pieces of a request have in common is sent once if it would take much space in each of them.
 */

/** Returns the messages that request the execution of [pieces] in [pool]. Each has about [MAX_REPEATED_BYTES] at most, or one request. */
internal fun executePieces(
    pool: String,
    pieces: List<PieceSpec>,
): List<PeerMessage.ExecutePieces> {
    val byOrigin = pieces.groupBy { PieceOrigin(it.request, it.key, it.inputs) }
    val (long, short) = byOrigin.entries.partition { (origin, group) -> origin.estimatedBytes * group.size > MAX_REPEATED_BYTES }
    val complete =
        short
            .flatMap { it.value }
            .chunkedBySize(MAX_REPEATED_BYTES) { it.estimatedBytes }
            .map { PeerMessage.ExecutePieces(pool, it) }
    val abbreviated =
        long.flatMap { (origin, group) ->
            group
                .map { it.copy(request = "", key = null, inputs = null) }
                .chunkedBySize(MAX_REPEATED_BYTES) { it.estimatedBytes }
                .map { PeerMessage.ExecutePieces(pool, it, origin) }
        }
    return complete + abbreviated
}

/** Returns the messages that report [reports] of [pool]. Each has about [MAX_REPEATED_BYTES] at most, or one request. */
internal fun reportPieces(
    pool: String,
    backlogMs: Long,
    reports: List<PieceReport>,
    waitsByRankMs: List<Long>?,
): List<PeerMessage.ReportPieces> {
    val (long, short) = reports.groupBy { it.request }.entries.partition { (id, group) -> id.length * group.size > MAX_REPEATED_BYTES }
    val complete =
        short
            .flatMap { it.value }
            .chunkedBySize(MAX_REPEATED_BYTES) { it.estimatedBytes }
            .map { PeerMessage.ReportPieces(pool, backlogMs, it, waitsByRankMs) }
    val abbreviated =
        long.flatMap { (id, group) ->
            group
                .map { it.copy(request = "") }
                .chunkedBySize(MAX_REPEATED_BYTES) { it.estimatedBytes }
                .map { PeerMessage.ReportPieces(pool, backlogMs, it, waitsByRankMs, request = id) }
        }
    return complete + abbreviated
}

/** Returns [piece] as it is sent at [nowMs], with its rank and the lifetime of its inputs only if its pool [isPaced]. */
internal fun specOf(
    piece: Piece,
    nowMs: Long,
    isPaced: Boolean,
) = PieceSpec(
    request = piece.id.request.value,
    stage = piece.id.stage,
    segment = piece.id.segment,
    key = (piece.input as? PieceInput.Key)?.key,
    inputs = (piece.input as? PieceInput.Results)?.handles,
    resultBytes = piece.resultBytes,
    domain = piece.domain?.value,
    startWithinMs = piece.latestStartMs - nowMs,
    expiresAfterMs = piece.expiresAtMs - nowMs,
    rank = if (isPaced) piece.rank else 0,
    inputsForMs = (piece.inputsUntilMs - nowMs).takeIf { isPaced && piece.inputsUntilMs != Long.MAX_VALUE },
)

/** Returns the piece of [pool] that [spec], received at [nowMs], contains. */
internal fun pieceOf(
    spec: PieceSpec,
    pool: PoolId,
    nowMs: Long,
) = Piece(
    id = idOf(spec),
    pool = pool,
    input = spec.inputs?.let { PieceInput.Results(it) } ?: PieceInput.Key(spec.key.orEmpty()),
    resultBytes = spec.resultBytes,
    domain = spec.domain?.let(::FailureDomain),
    latestStartMs = nowMs + spec.startWithinMs,
    expiresAtMs = nowMs + spec.expiresAfterMs,
    rank = spec.rank,
    inputsUntilMs = spec.inputsForMs?.let { nowMs + it } ?: Long.MAX_VALUE,
)

/** Returns the id of the piece that [spec] contains. */
internal fun idOf(spec: PieceSpec) = PieceId(RequestId(spec.request), spec.stage, spec.segment)

/** Returns the report that the piece [id] has [result]. */
internal fun reportOf(
    id: PieceId,
    result: PieceResult,
) = when (result) {
    is PieceResult.Completed -> PieceReport(id.request.value, id.stage, id.segment, handle = result.handle)
    PieceResult.Started -> PieceReport(id.request.value, id.stage, id.segment)
    is PieceResult.Failed -> PieceReport(id.request.value, id.stage, id.segment, failure = result.reason)
}

private val PieceOrigin.estimatedBytes: Int
    get() = request.length + (key?.length ?: 0) + inputs.orEmpty().sumOf { it.length + STRING_BYTES }

private val PieceSpec.estimatedBytes: Int
    get() = FIXED_BYTES + PieceOrigin(request, key, inputs).estimatedBytes + (domain?.length ?: 0)

private val PieceReport.estimatedBytes: Int
    get() = FIXED_BYTES + request.length + (handle?.length ?: 0)

/** Requests with less to repeat are sent as earlier versions of the program know them. */
private const val MAX_REPEATED_BYTES = 64 * 1024

/** The names and numbers of a piece. */
private const val FIXED_BYTES = 64

/** The length of a string, as it is encoded. */
private const val STRING_BYTES = 3
