package io.monsoonpath.coordination.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/**
 * What a process holds of the published documents, sent with each message of the spread.
 *
 * @property configuration the revision of its configuration, 0 before the first
 * @property list the revision of its instance list, 0 before the first
 * @property readAgeMs how long ago the platform had nothing newer than [configuration], or null if that is not known
 * @property reader the instance whose read [readAgeMs] rests on
 * @property canConfirm whether the process has asked its peers since it started, so that its word counts
 */
@Serializable
data class HeldRevisions(
    @SerialName("c") val configuration: Long,
    @SerialName("l") val list: Long,
    @SerialName("a") val readAgeMs: Long? = null,
    @SerialName("r") val reader: String? = null,
    @SerialName("s") val canConfirm: Boolean = true,
)

/** Asks a peer which revisions it holds; [sentAtMs] is the asker's clock and comes back in the answer. */
@Serializable
@SerialName("sa")
data class RevisionsRequest(
    @SerialName("t") val sentAtMs: Long,
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** Answers [RevisionsRequest]; [toIncarnation] is the asker's incarnation. */
@Serializable
@SerialName("sb")
data class RevisionsReply(
    @SerialName("i") val toIncarnation: Long,
    @SerialName("t") val sentAtMs: Long,
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** Tells a peer without being asked which revisions the sender holds. */
@Serializable
@SerialName("sn")
data class RevisionsNotice(
    @SerialName("h") val held: HeldRevisions,
) : PeerMessage

/** Requests the newest document of a kind, as a change from revision [baseRevision]; 0 requests it whole. */
@Serializable
@SerialName("sf")
data class DocumentRequest(
    @SerialName("k") val kind: Int,
    @SerialName("h") val baseRevision: Long,
) : PeerMessage

/**
 * Carries a document as a change from revision [baseRevision].
 *
 * @property instructions pairs of a first part in [baseRevision] and a count; a first part of -1 stands for that many of [hashes]
 * @property hashes the hashes of the parts that [baseRevision] does not have, 16 bytes each
 * @property chunks these parts themselves, or empty if they are too long for one message and must be requested
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

/** Requests the parts with [hashes], 16 bytes each, of the document of a kind. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("sp")
class ChunksRequest(
    @SerialName("k") val kind: Int,
    @ByteString
    @SerialName("h")
    val hashes: ByteArray,
) : PeerMessage

/** Carries parts that a peer requested; it may hold fewer than requested. */
@Serializable
@SerialName("sq")
data class ChunksReply(
    @SerialName("k") val kind: Int,
    @SerialName("p") val chunks: List<ChunkBytes>,
) : PeerMessage

/** The bytes of one part. */
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
