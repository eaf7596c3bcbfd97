package io.monsoonpath.coordination.gossip

import io.monsoonpath.coordination.gossip.ConnectionMonitor.Verdict
import io.monsoonpath.coordination.gossip.ConnectionMonitor.Verdict.CLOSE_SILENT
import io.monsoonpath.coordination.gossip.ConnectionMonitor.Verdict.NONE
import io.monsoonpath.coordination.gossip.ConnectionMonitor.Verdict.SEND_KEEP_ALIVE
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against connections that are silent and in use for ever, and against keep-alives on connections that are not used. */
class ConnectionMonitorTest {
    private class Case(
        val name: String,
        val expected: List<Verdict>,
        val isAwaited: Boolean = false,
        /** What happens before the round with the given number, from 0. */
        val event: ConnectionMonitor.(round: Int) -> Unit,
    )

    @TestFactory
    fun `a connection is tested while it is in use, and closed if nothing arrives`() =
        listOf(
            Case("not used", List(4) { NONE }) { },
            Case("used once, and answered", listOf(SEND_KEEP_ALIVE, NONE, NONE)) { if (it == 0) recordSent() else recordReceived() },
            Case("used once, and silent", List(3) { SEND_KEEP_ALIVE } + CLOSE_SILENT) { if (it == 0) recordSent() },
            Case("messages are awaited on it, and arrive", List(8) { SEND_KEEP_ALIVE }, isAwaited = true) { recordReceived() },
            Case("messages are awaited on it, and none arrives", List(3) { SEND_KEEP_ALIVE } + CLOSE_SILENT, isAwaited = true) { },
            Case("bytes arrive in the last round", List(6) { SEND_KEEP_ALIVE } + CLOSE_SILENT, isAwaited = true) {
                if (it == 3) recordReceived()
            },
            Case("only sent on, never received", List(3) { SEND_KEEP_ALIVE } + CLOSE_SILENT) { recordSent() },
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val monitor = ConnectionMonitor(maxSilentRounds = 3)
                val verdicts =
                    List(case.expected.size) { round ->
                        case.event(monitor, round)
                        monitor.startRound(case.isAwaited)
                    }
                assertEquals(case.expected, verdicts)
            }
        }

    @Test
    fun `a connection that is not used is closed by its opener first`() {
        val opener = ConnectionMonitor()
        val acceptor = ConnectionMonitor()
        var rounds = 0
        while (opener.startRound(isAwaited = false) == NONE) {
            rounds++
            assertEquals(NONE, acceptor.startIncomingRound(), "round $rounds")
        }
        acceptor.recordReceived()
        var abandonedRounds = 0
        while (acceptor.startIncomingRound() == NONE) abandonedRounds++
        assertTrue(abandonedRounds > rounds, "$abandonedRounds rounds without a byte, while the opener keeps it for $rounds")
    }

    @Test
    fun `a connection on which nothing has ever arrived is told apart`() {
        val monitor = ConnectionMonitor()
        assertFalse(monitor.hasReceived)
        monitor.recordReceived()
        assertTrue(monitor.hasReceived)
    }
}
