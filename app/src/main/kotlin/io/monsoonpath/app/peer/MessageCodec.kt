package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** The CBOR form of everything between instances; fields that a newer version added are ignored. */
@OptIn(ExperimentalSerializationApi::class)
internal val PeerCbor: Cbor =
    Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

/** A message in its encoded form, with the short name of its kind. */
internal class EncodedMessage(
    val kind: String,
    val bytes: ByteArray,
)

/** The messages of one frame: the first one has the number [firstSeq], the others follow it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class MessageBatch(
    @SerialName("s") val firstSeq: Long,
    @SerialName("m") val messages: List<MessageBytes>,
)

/** The bytes of one message. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class MessageBytes(
    @ByteString
    @SerialName("b")
    val bytes: ByteArray,
)

/** A message as it came from a peer. */
internal sealed interface DecodedMessage {
    /** A message that this version knows. */
    data class Known(
        val kind: String,
        val message: PeerMessage,
    ) : DecodedMessage

    /** A message of a kind that only a newer version knows; it is dropped. */
    data class Unknown(
        val kind: String,
    ) : DecodedMessage
}

/** Encodes [message]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeMessage(message: PeerMessage): EncodedMessage {
    val bytes = PeerCbor.encodeToByteArray(PeerMessage.serializer(), message)
    return EncodedMessage(readKind(bytes), bytes)
}

/** Encodes the messages of one frame, the first with the number [firstSeq]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeBatch(
    firstSeq: Long,
    batch: List<EncodedMessage>,
): ByteArray = PeerCbor.encodeToByteArray(MessageBatch.serializer(), MessageBatch(firstSeq, batch.map { MessageBytes(it.bytes) }))

/** @throws MalformedFrameException if [bytes] are not one message */
internal fun decodeMessage(bytes: ByteArray): DecodedMessage {
    requireBoundedCbor(bytes)
    val kind = readKind(bytes)
    if (kind !in KNOWN_KINDS) return DecodedMessage.Unknown(kind)
    return DecodedMessage.Known(kind, decodeChecked(PeerMessage.serializer(), bytes))
}

/** @throws MalformedFrameException if [bytes] are not a batch */
internal fun decodeBatch(bytes: ByteArray): MessageBatch {
    requireBoundedCbor(bytes)
    return decodeChecked(MessageBatch.serializer(), bytes)
}

/** Decodes bytes whose lengths and depth were checked; whatever the decoder throws means that they are malformed. */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeChecked(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T =
    try {
        PeerCbor.decodeFromByteArray(serializer, bytes)
    } catch (e: RuntimeException) {
        throw MalformedFrameException("${serializer.descriptor.serialName} cannot be decoded", e)
    }

/** Reads the kind from the start of a message: an array of two, whose first item is a text of at most 23 bytes. */
private fun readKind(bytes: ByteArray): String {
    val length = if (bytes.size < 2) -1 else bytes[1] - SHORT_TEXT_HEAD
    if (length !in 1..MAX_KIND_BYTES || bytes[0] != TWO_ELEMENT_ARRAY || bytes.size < 2 + length) {
        throw MalformedFrameException("the kind of a message cannot be read")
    }
    return bytes.decodeToString(2, 2 + length)
}

@OptIn(ExperimentalSerializationApi::class)
private val KNOWN_KINDS: Set<String> =
    PeerMessage.serializer().descriptor.getElementDescriptor(1).let { kinds ->
        (0 until kinds.elementsCount).mapTo(HashSet()) { kinds.getElementDescriptor(it).serialName }
    }

private const val TWO_ELEMENT_ARRAY: Byte = 0x82.toByte()
private const val SHORT_TEXT_HEAD = 0x60
private const val MAX_KIND_BYTES = 23
