package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.stage.PieceFailure
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What instances say to each other over a connection. Times are durations from the sending on, since clocks are not compared. */
@Serializable
internal sealed interface PeerMessage {
    /** Asks the receiver, which batches for the pool, to have pieces made. */
    @Serializable
    @SerialName("make")
    data class ExecutePieces(
        val pool: String,
        val pieces: List<PieceSpec>,
    ) : PeerMessage

    /** Asks for the documents of a topic that changed after a revision. */
    @Serializable
    @SerialName("ask")
    data class RequestDocuments(
        val topic: String,
        val revision: Long,
    ) : PeerMessage

    /** Tells what the sender knows of a topic. */
    @Serializable
    @SerialName("docs")
    data class SendDocuments(
        val documents: DocumentDelta,
    ) : PeerMessage

    /** Says that pieces of a request will follow in a pool. */
    @Serializable
    @SerialName("expect")
    data class ExpectPieces(
        val pool: String,
        val request: String,
        val pieces: Int,
        val startWithinMs: Long,
    ) : PeerMessage

    /** Tells what became of pieces, and how long the pool needs for what waits there. */
    @Serializable
    @SerialName("made")
    data class ReportPieces(
        val pool: String,
        val backlogMs: Long,
        val pieces: List<PieceReport>,
    ) : PeerMessage

    /** Drops the queued pieces of a request. */
    @Serializable
    @SerialName("cancel")
    data class CancelPieces(
        val request: String,
        val pools: List<String>,
    ) : PeerMessage

    /** Gives up results. */
    @Serializable
    @SerialName("release")
    data class ReleaseResults(
        val pool: String,
        val handles: List<String>,
    ) : PeerMessage
}

/** A piece to be made; exactly one of [key] and [inputs] is set. */
@Serializable
internal data class PieceSpec(
    @SerialName("r") val request: String,
    @SerialName("s") val stage: Int,
    @SerialName("g") val segment: Int,
    @SerialName("k") val key: String? = null,
    @SerialName("i") val inputs: List<String>? = null,
    @SerialName("b") val resultBytes: Long,
    @SerialName("d") val domain: String? = null,
    @SerialName("t") val startWithinMs: Long,
    @SerialName("u") val expiresAfterMs: Long,
)

/** What becomes of a piece: it was made under [handle], it failed, or, with neither, a worker has begun with it. */
@Serializable
internal data class PieceReport(
    @SerialName("r") val request: String,
    @SerialName("s") val stage: Int,
    @SerialName("g") val segment: Int,
    @SerialName("h") val handle: String? = null,
    @SerialName("f") val failure: PieceFailure? = null,
)
