package io.monsoonpath.coordination.gossip

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PathMonitorTest {
    private class Case(
        val name: String,
        val isProbeLost: (nowMs: Long) -> Boolean,
        val isReplyLost: (nowMs: Long) -> Boolean,
        /** The spans of time, in milliseconds, in which the peer must count as unreachable, and outside of which it must not. */
        val unreachable: List<LongRange>,
    )

    private val never = { _: Long -> false }
    private val during = { span: LongRange -> { nowMs: Long -> nowMs in span } }

    private val cases =
        listOf(
            Case("packets pass both ways", never, never, emptyList()),
            Case("nothing gets to the peer", during(5_000L..10_000L), never, listOf(5_750L..10_000L)),
            Case("nothing comes from the peer", never, during(5_000L..10_000L), listOf(5_750L..10_000L)),
            Case("the peer is never reached", during(0L..20_000L), never, listOf(1_000L..20_000L)),
            Case("one direction after the other", during(5_000L..8_000L), during(8_000L..11_000L), listOf(5_750L..11_000L)),
            Case("a silence of three probes", during(5_000L..5_700L), never, emptyList()),
        )

    /** Runs rounds for 20 s of virtual time with a peer in use, and returns the times at which it counts as unreachable. */
    private fun unreachableTimes(
        isProbeLost: (Long) -> Boolean,
        isReplyLost: (Long) -> Boolean,
    ): List<Long> {
        val monitor = PathMonitor()
        return (0..20_000L step INTERVAL_MS).filter { nowMs ->
            val isProbed = HOST in monitor.startRound(setOf(HOST), nowMs)
            val isUnreachable = HOST in monitor.unreachableHosts
            if (isProbed && !isProbeLost(nowMs) && !isReplyLost(nowMs + 1)) monitor.recordReply(HOST)
            isUnreachable
        }
    }

    @TestFactory
    fun `a path counts as lost while packets pass in one direction only`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val times = unreachableTimes(case.isProbeLost, case.isReplyLost)
                // The silence is counted from the last reply, and a round notices both its end and the next reply.
                val mustBe = case.unreachable.map { it.first + 2 * INTERVAL_MS..it.last }
                val mayBe = case.unreachable.map { it.first..it.last + 2 * INTERVAL_MS }
                for (nowMs in 0..20_000L step INTERVAL_MS) {
                    if (mustBe.any { nowMs in it }) assertTrue(nowMs in times, "reachable at $nowMs ms")
                    if (mayBe.none { nowMs in it }) assertTrue(nowMs !in times, "unreachable at $nowMs ms")
                }
            }
        }

    @Test
    fun `a path that loses one datagram in twenty is not lost`() {
        val lostRounds =
            (1..50).sumOf { seed ->
                val random = Random(seed)
                unreachableTimes({ random.nextInt(20) == 0 }, { random.nextInt(20) == 0 }).size
            }
        assertTrue(lostRounds <= 4, "$lostRounds of 4,000 rounds")
    }

    @Test
    fun `a path that is no longer in use is not probed any more`() {
        val monitor = PathMonitor()
        assertEquals(listOf(HOST), monitor.startRound(setOf(HOST), 0))
        assertEquals(listOf(HOST), monitor.startRound(emptySet(), 10_000))
        assertEquals(emptyList(), monitor.startRound(emptySet(), 10_001))
        assertEquals(emptySet(), monitor.unreachableHosts)
    }

    /** On a starved machine, rounds were late by more than a second, and the replies were waiting to be read. */
    @Test
    fun `a late round does not make a path count as lost`() {
        val monitor = PathMonitor()
        for (round in 0..20L) {
            monitor.startRound(setOf(HOST), round * 3_000)
            assertEquals(emptySet(), monitor.unreachableHosts)
            monitor.recordReply(HOST)
        }
    }

    @Test
    fun `nothing counts as lost after a pause`() {
        val monitor = PathMonitor()
        for (round in 0..4L) monitor.startRound(setOf(HOST), round * INTERVAL_MS)
        assertEquals(setOf(HOST), monitor.unreachableHosts)
        monitor.forgetAll()
        monitor.startRound(setOf(HOST), 9_000)
        assertEquals(emptySet(), monitor.unreachableHosts)
    }

    private companion object {
        const val HOST = "10.0.0.2"
        const val INTERVAL_MS = 250L
    }
}
