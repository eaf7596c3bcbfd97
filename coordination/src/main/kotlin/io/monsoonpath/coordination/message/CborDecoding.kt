package io.monsoonpath.coordination.message

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray

/**
 * Decodes [bytes], or returns null if they are not a valid [T].
 *
 * The library reports invalid input with several types of exceptions, among them IllegalStateException for input that is cut off.
 */
@OptIn(ExperimentalSerializationApi::class)
inline fun <reified T> decodeCborOrNull(bytes: ByteArray): T? =
    try {
        Cbor.decodeFromByteArray<T>(bytes)
    } catch (_: RuntimeException) {
        null
    }
