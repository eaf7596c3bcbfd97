package io.monsoonpath.coordination.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * The revisions of the published documents that a process holds.
 *
 * @property configuration the revision of the configuration, or 0 if there is none
 * @property list the revision of the instance list, or 0 if there is none
 * @property readAgeMs the time since a platform read found nothing newer than [configuration], or null if unknown
 * @property reader the instance that performed that read
 * @property canConfirm whether the process has run long enough, and queried its peers, for its reply to count towards a quorum
 */
@Serializable
data class HeldRevisions(
    @SerialName("c") val configuration: Long,
    @SerialName("l") val list: Long,
    @SerialName("a") val readAgeMs: Long? = null,
    @SerialName("r") val reader: String? = null,
    @SerialName("s") val canConfirm: Boolean = true,
)

/** Requests the revisions that a peer holds. [sentAtMs] is the requester's clock and is returned in the reply. */
@Serializable
@SerialName("sa")
data class RevisionsRequest(
    @SerialName("t") val sentAtMs: Long,
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** The reply to [RevisionsRequest]. [toIncarnation] is the incarnation of the requester. */
@Serializable
@SerialName("sb")
data class RevisionsReply(
    @SerialName("i") val toIncarnation: Long,
    @SerialName("t") val sentAtMs: Long,
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** An unsolicited notification of the revisions that the sender holds. */
@Serializable
@SerialName("sn")
data class RevisionsNotice(
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** Requests the newest document of a kind as a delta from [baseRevision]; 0 requests the full document. */
@Serializable
@SerialName("sf")
data class DocumentRequest(
    @SerialName("k") val kind: Int,
    @SerialName("h") val baseRevision: Long,
) : PeerMessage

/**
 * A document, encoded as a delta from [baseRevision].
 *
 * @property instructions pairs of a start index and a count of chunks to copy from the base; a start index of -1 inserts the next
 * count chunks of [hashes]
 * @property hashes the hashes of the inserted chunks, 16 bytes each
 * @property chunks the inserted chunks, or empty if they are too large for one message and must be requested
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("sd")
data class DocumentDelta(
    @SerialName("k") val kind: Int,
    @SerialName("v") val revision: Long,
    @SerialName("b") val baseRevision: Long,
    @SerialName("c") val instructions: List<Int>,
    @ByteString
    @SerialName("h")
    val hashes: ByteArray,
    @SerialName("p") val chunks: List<ChunkBytes>,
) : PeerMessage {
    override fun equals(other: Any?): Boolean =
        other is DocumentDelta &&
            kind == other.kind &&
            revision == other.revision &&
            baseRevision == other.baseRevision &&
            instructions == other.instructions &&
            hashes.contentEquals(other.hashes) &&
            chunks == other.chunks

    override fun hashCode(): Int = 31 * revision.hashCode() + hashes.contentHashCode()
}

/** Requests the chunks with [hashes], 16 bytes each, of the document of a kind. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("sp")
class ChunksRequest(
    @SerialName("k") val kind: Int,
    @ByteString
    @SerialName("h")
    val hashes: ByteArray,
) : PeerMessage

/** Contains requested chunks, possibly fewer than requested. */
@Serializable
@SerialName("sq")
data class ChunksReply(
    @SerialName("k") val kind: Int,
    @SerialName("p") val chunks: List<ChunkBytes>,
) : PeerMessage

/** The content of one chunk. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class ChunkBytes(
    @ByteString
    @SerialName("b")
    val bytes: ByteArray,
) {
    override fun equals(other: Any?): Boolean = other is ChunkBytes && bytes.contentEquals(other.bytes)

    override fun hashCode(): Int = bytes.contentHashCode()
}
