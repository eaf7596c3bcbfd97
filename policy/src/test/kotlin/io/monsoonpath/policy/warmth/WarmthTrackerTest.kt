package io.monsoonpath.policy.warmth

import io.monsoonpath.model.Incarnation
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

internal class WarmthTrackerTest {
    private class Case(
        val name: String,
        val expected: ColdReason?,
        val atMs: Long,
        vararg val events: WarmthEvent,
    )

    private val cases =
        listOf(
            Case("a reconnect", ColdReason.RECONNECTED, 1_000, WarmthEvent.Connected),
            Case("a new incarnation in a report", ColdReason.NEW_INCARNATION, 1_000, WarmthEvent.Reported(SECOND)),
            Case("a new incarnation in an answer", ColdReason.NEW_INCARNATION, 1_000, WarmthEvent.Answered(SECOND, 1.0)),
            Case("the same incarnation", null, 1_000, WarmthEvent.Reported(FIRST), WarmthEvent.Answered(FIRST, 1.0)),
            Case("no evidence for too long", ColdReason.STALE_EVIDENCE, 10_001, WarmthEvent.Tick),
            Case("evidence at the maximum age", null, 10_000, WarmthEvent.Tick),
            Case("a sudden increase of the service time", ColdReason.SLOWER_SUDDENLY, 1_000, SLOW, SLOW, SLOW, SLOW),
            Case("a few slow answers", null, 1_000, SLOW, SLOW, SLOW, WarmthEvent.Answered(FIRST, 1.0), SLOW),
            Case("a peer report of a cold server", ColdReason.PEER_FOUND_COLD, 1_000, WarmthEvent.PeerReportedCold(SECOND)),
            Case("a peer report about the process that is warm by now", null, 1_000, WarmthEvent.PeerReportedCold(FIRST)),
            Case("a return to service", ColdReason.RETURNED, 1_000, WarmthEvent.ReturnedToService),
        )

    @TestFactory
    fun `a server turns cold at each sign of a cold start`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val warmth = warm()
                assertEquals(case.expected, case.events.map { warmth.handle(it, case.atMs) }.last())
                assertEquals(case.expected == null, warmth.state is WarmthState.Warm)
            }
        }

    @Test
    fun `a completed ramp of an earlier process does not make the server warm`() {
        val warmth = warm()
        warmth.handle(WarmthEvent.Reported(SECOND), nowMs = 10)
        warmth.handle(WarmthEvent.RampCompleted(FIRST), nowMs = 20)
        assertEquals(WarmthState.Cold(ColdReason.NEW_INCARNATION, sinceMs = 20), warmth.state)
    }

    private class RampCase(
        val name: String,
        val ratios: List<Double>,
        val limit: Int,
    )

    @TestFactory
    fun `answers at normal speed raise the limit`() =
        listOf(
            RampCase("no answers", emptyList(), 2),
            RampCase("one answer less than a round", List(7) { 1.0 }, 2),
            RampCase("one round", List(8) { 1.0 }, 4),
            RampCase("slow answers do not raise the limit", List(39) { 3.0 }, 2),
            RampCase("half of the answers are slow", List(38) { if (it % 2 == 0) 0.9 else 2.5 }, 2),
            RampCase("a permanently slow server", List(40) { 3.0 }, 4),
            RampCase("one answer less than all rounds", List(47) { 1.0 }, 6),
            RampCase("all rounds", List(48) { 1.0 }, 8),
            RampCase("more answers than all rounds", List(100) { 1.0 }, 8),
        ).map { case ->
            dynamicTest(case.name) {
                val ramp = Ramp(coldLoad = 2, fullLoad = 8)
                case.ratios.forEach { ramp.recordAnswer(it) }
                assertEquals(case.limit, ramp.limit)
            }
        }

    private fun warm() =
        WarmthTracker(startMs = 0).also {
            it.handle(WarmthEvent.Reported(FIRST), nowMs = 0)
            it.handle(WarmthEvent.RampCompleted(FIRST), nowMs = 0)
        }

    private companion object {
        val FIRST = Incarnation(1)
        val SECOND = Incarnation(2)
        val SLOW = WarmthEvent.Answered(FIRST, 2.5)
    }
}
