package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.ChunkBytes
import io.monsoonpath.coordination.message.DocumentDelta
import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.RevisionsRequest
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.Size
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MessageCodecProperties {
    @Property(seed = "41", tries = 2_000)
    fun `any bytes are decoded or rejected as malformed`(
        @ForAll bytes: ByteArray,
    ) {
        assertDecodedOrRefused(bytes)
    }

    @Property(seed = "42", tries = 5_000)
    fun `any modified or truncated message is decoded or rejected as malformed`(
        @ForAll @IntRange(max = 10_000) at: Int,
        @ForAll value: Byte,
        @ForAll @IntRange(max = 10_000) end: Int,
    ) {
        SAMPLES.forEach { sample ->
            val changed = encodeMessage(sample).bytes
            changed[at % changed.size] = value
            assertDecodedOrRefused(changed)
            assertDecodedOrRefused(changed.copyOf(end % changed.size))
        }
    }

    @Property(seed = "43", tries = 500)
    fun `a decoded message equals the encoded one`(
        @ForAll sentAtMs: Long,
        @ForAll configuration: Long,
        @ForAll @Size(max = 8) parts: List<ByteArray>,
    ) {
        val messages =
            listOf(
                RevisionsRequest(sentAtMs, HeldRevisions(configuration, 3)),
                DocumentDelta(1, configuration, 2, listOf(0, 4), ByteArray(16), parts.map { ChunkBytes(it) }),
            )
        messages.forEach { message ->
            val decoded = decodeMessage(encodeMessage(message).bytes) as DecodedMessage.Known
            assertEquals(message, decoded.message)
        }
    }

    @Property(seed = "44", tries = 200)
    fun `nesting and lengths beyond the bounds are rejected before decoding`(
        @ForAll @IntRange(min = 13, max = 100_000) depth: Int,
        @ForAll @IntRange(min = 1_000, max = Int.MAX_VALUE) length: Int,
    ) {
        val nested = ByteArray(depth) { ARRAY_OF_ONE }
        val long = byteArrayOf(BYTES_OF_INT) + length.toBytes()
        val many = byteArrayOf(ARRAY_OF_INT) + length.toBytes()
        listOf(nested, long, many).forEach { bytes ->
            val refusal = runCatching { requireBoundedCbor(bytes) }.exceptionOrNull()
            assertTrue(refusal is MalformedFrameException, "expected MalformedFrameException, but was $refusal")
        }
    }

    private fun assertDecodedOrRefused(bytes: ByteArray) {
        listOf<(ByteArray) -> Any>(::decodeMessage, ::decodeBatch).forEach { decode ->
            val failure = runCatching { decode(bytes) }.exceptionOrNull()
            assertTrue(failure == null || failure is MalformedFrameException, "expected MalformedFrameException or none, but was $failure")
        }
    }

    private fun Int.toBytes() = ByteArray(4) { (this ushr (24 - 8 * it)).toByte() }

    private companion object {
        const val ARRAY_OF_ONE = 0x81.toByte()
        const val BYTES_OF_INT = 0x5a.toByte()
        const val ARRAY_OF_INT = 0x9a.toByte()
        val SAMPLES: List<PeerMessage> =
            listOf(
                RevisionsRequest(1_000, HeldRevisions(7, 3, 120, "e1")),
                DocumentDelta(0, 8, 7, listOf(0, 4, -1, 1), ByteArray(16) { 5 }, listOf(ChunkBytes("a part".toByteArray()))),
            )
    }
}
