package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.VirtualTimeScheduler
import kotlin.test.Test
import kotlin.test.assertEquals

class ReportBufferTest {
    /** In a fleet of 91 instances, the one that batched for a pool of 1,640 pieces a second sent a message for each of them. */
    @Test
    fun `the pieces of one call are reported in one message to each instance and pool`() {
        val scheduler = VirtualTimeScheduler()
        val messages = ArrayList<Triple<String, String, List<Int>>>()
        val buffer =
            ReportBuffer<String>(scheduler) { receiver, pool, reports -> messages += Triple(receiver, pool, reports.map { it.segment }) }

        fun complete(
            receiver: String,
            pool: String,
            segments: IntRange,
        ) = segments.forEach { buffer.add(receiver, pool, PieceReport("r", stage = 0, segment = it, handle = "h")) }

        complete("a", "billing", 0..15)
        complete("b", "billing", 0..7)
        complete("a", "portal", 0..1)
        complete("a", "billing", 16..17)
        assertEquals(emptyList(), messages)
        scheduler.advance(0)
        val expected =
            listOf(
                Triple("a", "billing", (0..17).toList()),
                Triple("b", "billing", (0..7).toList()),
                Triple("a", "portal", (0..1).toList()),
            )
        assertEquals(expected, messages)
        complete("a", "billing", 0..0)
        scheduler.advance(1)
        assertEquals(expected + Triple("a", "billing", listOf(0)), messages)
    }
}
