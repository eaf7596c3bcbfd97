package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.AskRevisions
import io.monsoonpath.coordination.message.HeldRevisions
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Measures what a message costs from its encoding to its decoding, and holds it to a node's share of processor time. */
class PeerCostTest {
    @Test
    fun `a message's processor time leaves a node within its share at a thousand messages a second`() {
        val key = "a secret of this measure".toByteArray()
        listOf(1, 16).forEach { perFrame ->
            val sealer = FrameCodec(key)
            val opener = FrameCodec(key)
            repeat(WARM_UP_FRAMES) { roundTrip(sealer, opener, perFrame) }
            val startNs = System.nanoTime()
            var bytes = 0L
            repeat(FRAMES) { bytes += roundTrip(sealer, opener, perFrame) }
            val nsPerMessage = (System.nanoTime() - startNs) / (FRAMES * perFrame)
            println("MEASURE $perFrame messages a frame: $nsPerMessage ns and ${bytes / (FRAMES * perFrame)} bytes a message")
            assertTrue(nsPerMessage <= MAX_NS_PER_MESSAGE, "$nsPerMessage ns")
        }
    }

    private fun roundTrip(
        sealer: FrameCodec,
        opener: FrameCodec,
        perFrame: Int,
    ): Int {
        val payload = encodeBatch(1, List(perFrame) { encodeMessage(MESSAGE) })
        val code = sealer.seal(payload)
        opener.open(code, payload)
        val decoded = decodeBatch(payload).messages.map { decodeMessage(it.bytes) }
        assertEquals(perFrame, decoded.size)
        return Int.SIZE_BYTES + code.size + payload.size
    }

    private companion object {
        const val WARM_UP_FRAMES = 20_000
        const val FRAMES = 20_000

        /** 4.9% of a core, spread over 1,000 messages. */
        const val MAX_NS_PER_MESSAGE = 49_000L
        val MESSAGE = AskRevisions(123_456_789, HeldRevisions(3_900, 17, 420, "instance-17"))
    }
}
