package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.http.isHeaderListElement
import io.monsoonpath.gateway.stage.PieceFailure
import io.monsoonpath.gateway.stage.PieceResult
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between two instances. Times are durations from the time of sending, because clocks of instances are not compared. */
@Serializable
internal sealed interface PeerMessage {
    /**
     * Requests the execution of pieces from the receiver, which batches for the pool. If [origin] is set, [pieces] leave out what it
     * contains.
     */
    @Serializable
    @SerialName("make")
    data class ExecutePieces(
        val pool: String,
        val pieces: List<PieceSpec>,
        val origin: PieceOrigin? = null,
    ) : PeerMessage {
        /** The pieces with all their fields. */
        val completePieces: List<PieceSpec>
            get() = origin?.let { pieces.map { piece -> piece.copy(request = it.request, key = it.key, inputs = it.inputs) } } ?: pieces
    }

    /** Requests the documents of a topic that changed after a revision of an era of the source, which is 0 if it is not known. */
    @Serializable
    @SerialName("ask")
    data class RequestDocuments(
        val topic: String,
        val revision: Long,
        val era: Long = 0,
    ) : PeerMessage

    /** Contains the sender's state of a topic. */
    @Serializable
    @SerialName("docs")
    data class SendDocuments(
        val documents: DocumentDelta,
    ) : PeerMessage

    /** Contains changes of a topic that the sender has just read. */
    @Serializable
    @SerialName("forward")
    data class ForwardDocuments(
        val update: DocumentUpdate,
    ) : PeerMessage

    /** Contains the sender's contact with the source of documents. */
    @Serializable
    @SerialName("source")
    data class ReportSource(
        val heartbeat: SourceHeartbeat,
    ) : PeerMessage

    /** Announces that pieces of a request will follow in a pool; [pieces] is their number. */
    @Serializable
    @SerialName("expect")
    data class ExpectPieces(
        val pool: String,
        val request: String,
        val pieces: Int,
        val startWithinMs: Long,
        val rank: Int = 0,
    ) : PeerMessage

    /**
     * Reports the status of pieces, and the estimated time that the pool needs for its queued and expected pieces, in milliseconds.
     *
     * If the pool's workers state a pace, [waitsByRankMs] contains the time that a new piece of each rank waits, from rank 0. If [request]
     * is set, all [pieces] belong to it and leave it out.
     */
    @Serializable
    @SerialName("made")
    data class ReportPieces(
        val pool: String,
        val backlogMs: Long,
        val pieces: List<PieceReport>,
        val waitsByRankMs: List<Long>? = null,
        val request: String? = null,
    ) : PeerMessage {
        /** The reports with all their fields. */
        val completePieces: List<PieceReport> get() = request?.let { pieces.map { piece -> piece.copy(request = it) } } ?: pieces
    }

    /** Cancels the queued and expected pieces of a request. */
    @Serializable
    @SerialName("cancel")
    data class CancelPieces(
        val request: String,
        val pools: List<String>,
    ) : PeerMessage

    /** Releases results that are no longer needed. */
    @Serializable
    @SerialName("release")
    data class ReleaseResults(
        val pool: String,
        val handles: List<String>,
    ) : PeerMessage

    /** Reports to the owner of a pool what the instance on [host] runs there, what waits, and what arrived in the last second. */
    @Serializable
    @SerialName("demand")
    data class ReportDemand(
        val pool: String,
        val host: String,
        val running: Int,
        val waiting: Int,
        val arrivals: Int,
    ) : PeerMessage

    /**
     * States how many concurrent requests the receiver may run in a pool, and for how long that is valid. [spreadPercent] is the percentage
     * by which it should spread their starts because the shares of all instances exceed the capacity, 100 if they do not.
     */
    @Serializable
    @SerialName("share")
    data class GrantShare(
        val pool: String,
        val requests: Int,
        val validMs: Long,
        val spreadPercent: Int = 100,
    ) : PeerMessage

    /** Messages with a special meaning. */
    companion object {
        /**
         * Tests an outgoing connection; the accepting instance returns it. It cancels nothing, so earlier versions of the program accept it
         * and do not return it.
         */
        val KEEP_ALIVE: PeerMessage = CancelPieces(request = "", pools = emptyList())
    }
}

/** What the pieces of one stage of a request have in common. Exactly one of [key] and [inputs] is set. */
@Serializable
internal data class PieceOrigin(
    @SerialName("r") val request: String,
    @SerialName("k") val key: String? = null,
    @SerialName("i") val inputs: List<String>? = null,
)

/** A piece to execute. Exactly one of [key] and [inputs] is set. The inputs exist for [inputsForMs] milliseconds, if that is known. */
@Serializable
internal data class PieceSpec(
    @SerialName("r") val request: String = "",
    @SerialName("s") val stage: Int,
    @SerialName("g") val segment: Int,
    @SerialName("k") val key: String? = null,
    @SerialName("i") val inputs: List<String>? = null,
    @SerialName("b") val resultBytes: Long,
    @SerialName("d") val domain: String? = null,
    @SerialName("t") val startWithinMs: Long,
    @SerialName("u") val expiresAfterMs: Long,
    @SerialName("n") val rank: Int = 0,
    @SerialName("l") val inputsForMs: Long? = null,
)

/** The status of a piece: completed if [handle] is set, failed if [failure] is set, otherwise started by a worker. */
@Serializable
internal data class PieceReport(
    @SerialName("r") val request: String = "",
    @SerialName("s") val stage: Int,
    @SerialName("g") val segment: Int,
    @SerialName("h") val handle: String? = null,
    @SerialName("f") val failure: PieceFailure? = null,
) {
    /** Returns the result that this reports. A handle that cannot be sent in a list in a header is a failure of its worker. */
    fun toResult(): PieceResult =
        when {
            handle != null && isHeaderListElement(handle) -> PieceResult.Completed(handle)
            handle != null -> PieceResult.Failed(PieceFailure.WORKER_FAILED)
            failure != null -> PieceResult.Failed(failure)
            else -> PieceResult.Started
        }
}
