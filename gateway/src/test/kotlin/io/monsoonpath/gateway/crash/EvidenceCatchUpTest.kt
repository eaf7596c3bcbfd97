package io.monsoonpath.gateway.crash

import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.log.DecisionLog
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.test.assertEquals

class EvidenceCatchUpTest {
    /** @property replyAtMs the time of the reply of another instance, or null if none comes */
    private class Case(
        val name: String,
        val startAtMs: Long?,
        val replyAtMs: Long?,
        val pausedMs: LongRange,
        val requestAtMs: Long,
        val expectedSendAtMs: Long,
    )

    private val cases =
        listOf(
            Case("no start, no pause", null, null, NO_PAUSE, requestAtMs = 700, expectedSendAtMs = 700),
            Case("a pause of an instance without others", null, null, 2_000L..5_000L, requestAtMs = 5_000, expectedSendAtMs = 5_000),
            Case("a start with a reply", 0, 120, NO_PAUSE, requestAtMs = 30, expectedSendAtMs = 120),
            Case("a request after the reply", 0, 120, NO_PAUSE, requestAtMs = 130, expectedSendAtMs = 130),
            Case("a start without a reply", 0, null, NO_PAUSE, requestAtMs = 30, expectedSendAtMs = 1_000),
            Case("a request at the end of a pause", 0, 5_070, 2_000L..5_000L, requestAtMs = 5_000, expectedSendAtMs = 5_070),
            Case("a request after a pause that no reply follows", 0, null, 2_000L..5_000L, requestAtMs = 5_200, expectedSendAtMs = 6_000),
            Case("a pause shorter than a late timer", 0, null, 2_000L..3_000L, requestAtMs = 3_000, expectedSendAtMs = 3_000),
        )

    @TestFactory
    fun `requests wait for the evidence of other instances after a start and after a pause`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) { assertEquals(case.expectedSendAtMs, sendTimeOf(case)) }
        }

    /** Returns the time at which the request of [case] is sent. Nothing runs during the pause. */
    private fun sendTimeOf(case: Case): Long? {
        val scheduler = VirtualTimeScheduler(case.pausedMs)
        var asked = 0
        val catchUp = EvidenceCatchUp({ scheduler.nowMs }, scheduler, DecisionLog(ByteArrayOutputStream())) { asked++ }
        case.startAtMs?.let { scheduler.schedule(it) { catchUp.start() } }
        var sentAtMs: Long? = null
        // Before the rounds, as a request may be read before any timer at the end of a pause.
        scheduler.schedule(case.requestAtMs) { catchUp.whenComplete { sentAtMs = scheduler.nowMs } }
        case.replyAtMs?.let { scheduler.schedule(it) { catchUp.recordReply() } }
        for (atMs in 0L..END_MS step ROUND_MS) scheduler.schedule(atMs) { catchUp.recordAlive() }
        scheduler.advance(END_MS)
        if (case.startAtMs == null) assertEquals(0, asked)
        return sentAtMs
    }

    private companion object {
        val NO_PAUSE = LongRange.EMPTY
        const val ROUND_MS = 500L
        const val END_MS = 8_000L
    }
}
