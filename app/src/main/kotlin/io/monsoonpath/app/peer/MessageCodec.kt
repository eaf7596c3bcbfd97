package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.PeerMessage
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor

/** The CBOR format of all messages between instances; unknown fields, which a newer version may add, are ignored. */
@OptIn(ExperimentalSerializationApi::class)
internal val PeerCbor: Cbor =
    Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

/** An encoded message and the short name of its kind. */
internal class EncodedMessage(
    val kind: String,
    val bytes: ByteArray,
)

/** The messages of one frame, numbered consecutively from [firstSeq]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class MessageBatch(
    @SerialName("s") val firstSeq: Long,
    @SerialName("m") val messages: List<MessageBytes>,
)

/** The encoded bytes of one message. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class MessageBytes(
    @ByteString
    @SerialName("b")
    val bytes: ByteArray,
)

/** The result of decoding a message from a peer. */
internal sealed interface DecodedMessage {
    /** A message of a kind that this version supports. */
    data class Known(
        val kind: String,
        val message: PeerMessage,
    ) : DecodedMessage

    /** A message of a kind that only a newer version supports; the message is dropped. */
    data class Unknown(
        val kind: String,
    ) : DecodedMessage
}

/** Returns [message] in its encoded form. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeMessage(message: PeerMessage): EncodedMessage {
    val bytes = PeerCbor.encodeToByteArray(PeerMessage.serializer(), message)
    return EncodedMessage(readKind(bytes), bytes)
}

/** Returns the payload of a frame with the messages of [batch], numbered consecutively from [firstSeq]. */
@OptIn(ExperimentalSerializationApi::class)
internal fun encodeBatch(
    firstSeq: Long,
    batch: List<EncodedMessage>,
): ByteArray = PeerCbor.encodeToByteArray(MessageBatch.serializer(), MessageBatch(firstSeq, batch.map { MessageBytes(it.bytes) }))

/**
 * Decodes one message.
 *
 * @throws MalformedFrameException if [bytes] are not exactly one valid message
 */
internal fun decodeMessage(bytes: ByteArray): DecodedMessage {
    requireBoundedCbor(bytes)
    val kind = readKind(bytes)
    if (kind !in KNOWN_KINDS) return DecodedMessage.Unknown(kind)
    return DecodedMessage.Known(kind, decodeChecked(PeerMessage.serializer(), bytes))
}

/**
 * Decodes the payload of a frame.
 *
 * @throws MalformedFrameException if [bytes] are not exactly one valid batch
 */
internal fun decodeBatch(bytes: ByteArray): MessageBatch {
    requireBoundedCbor(bytes)
    return decodeChecked(MessageBatch.serializer(), bytes)
}

/**
 * Decodes [bytes], which must have passed [requireBoundedCbor].
 *
 * @throws MalformedFrameException if the decoder throws any exception, because [bytes] are malformed then
 */
@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeChecked(
    serializer: KSerializer<T>,
    bytes: ByteArray,
): T =
    try {
        PeerCbor.decodeFromByteArray(serializer, bytes)
    } catch (e: RuntimeException) {
        throw MalformedFrameException("cannot decode ${serializer.descriptor.serialName}", e)
    }

/**
 * Returns the kind of a message, without decoding the rest of it.
 *
 * A message is a CBOR array of two items. The first one is the kind, a text of 1 to 23 bytes, so that its head is a single byte.
 *
 * @throws MalformedFrameException if [bytes] do not start in this way
 */
private fun readKind(bytes: ByteArray): String {
    val length = if (bytes.size < 2) -1 else bytes[1] - SHORT_TEXT_HEAD
    if (length !in 1..MAX_KIND_BYTES || bytes[0] != TWO_ELEMENT_ARRAY || bytes.size < 2 + length) {
        throw MalformedFrameException("the message does not start with its kind as a short text in an array of two")
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
