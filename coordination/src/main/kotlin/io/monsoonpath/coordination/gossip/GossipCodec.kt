package io.monsoonpath.coordination.gossip

import io.monsoonpath.coordination.message.decodeCborOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

/** Encodes gossip messages as CBOR for a datagram. */
@OptIn(ExperimentalSerializationApi::class)
object GossipCodec {
    /** Encodes [message]. */
    fun encode(message: GossipMessage): ByteArray = Cbor.encodeToByteArray(message)

    /** Decodes [bytes], or returns null if they are not a valid gossip message. */
    fun decodeOrNull(bytes: ByteArray): GossipMessage? = decodeCborOrNull(bytes)
}
