package io.monsoonpath.policy.backend

import io.monsoonpath.model.BackendId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class BackendNoticesTest {
    private class Case(
        val name: String,
        /** The times in milliseconds at which the server may receive a request, of those in [PROBED_AT_MS]. */
        val availableAtMs: List<Long>,
        val server: Incarnation = SERVER,
        val record: BackendNotices.() -> Unit,
    )

    private val cases =
        listOf(
            Case("a server without notices receives requests", PROBED_AT_MS) {},
            Case("a server that is leaving receives none, at once and for ever", emptyList()) { recordLeaving(SERVER, 0) },
            Case("a later answer without the notice does not take a leaving server back", emptyList()) {
                recordLeaving(SERVER, 0)
                recordAnswer(SERVER, selectedAtMs = 0)
                recordEnd(SERVER, selectedAtMs = 0)
            },
            Case("the end of a wait does not take a leaving server back", emptyList()) {
                recordRefusal(SERVER, 1_000, 0)
                recordLeaving(SERVER, 500)
            },
            Case("another start of a leaving server receives requests", PROBED_AT_MS, SERVER.copy(startedAtUnixMs = 2)) {
                recordLeaving(SERVER, 0)
            },
            Case("another id than that of a leaving server receives requests", PROBED_AT_MS, SERVER.copy(id = BackendId("b"))) {
                recordLeaving(SERVER, 0)
            },
            Case("another start of a server with a wait receives requests", PROBED_AT_MS, SERVER.copy(startedAtUnixMs = 2)) {
                recordRefusal(SERVER, 60_000, 0)
            },
            Case("a server with a wait receives none until its end and the jitter", listOf(1_250, 4_000, 5_000, 100_000)) {
                recordRefusal(SERVER, 1_000, 0)
            },
            Case("a wait of zero changes nothing", PROBED_AT_MS) { recordRefusal(SERVER, 0, 0) },
            Case("a shorter wait does not replace a longer one", listOf(5_000, 100_000)) {
                recordRefusal(SERVER, 4_000, 0)
                recordRefusal(SERVER, 100, 200)
            },
            Case("a longer wait replaces a shorter one", listOf(5_000, 100_000)) {
                recordRefusal(SERVER, 100, 0)
                recordRefusal(SERVER, 3_900, 100)
            },
            Case("an answer to a request from before the wait does not end it", listOf(1_250, 4_000, 5_000, 100_000)) {
                recordRefusal(SERVER, 1_000, 0)
                recordAnswer(SERVER, selectedAtMs = 0)
            },
            Case("after the wait one first request is sent, and the next a second later if it is unanswered", listOf(100_000)) {
                recordRefusal(SERVER, 1_000, 0)
                recordSelected(SERVER, 4_001)
            },
            Case("the next request is sent when the first has ended without a response", listOf(1_250, 4_000, 5_000, 100_000)) {
                recordRefusal(SERVER, 1_000, 0)
                recordSelected(SERVER, 4_001)
                recordEnd(SERVER, 4_001)
            },
            Case("the end of a request from before the wait says nothing about the first", listOf(100_000)) {
                recordRefusal(SERVER, 1_000, 0)
                recordSelected(SERVER, 4_001)
                recordEnd(SERVER, 0)
            },
            Case("an answer to the first request ends the return", PROBED_AT_MS) {
                recordRefusal(SERVER, 1_000, 0)
                recordSelected(SERVER, 4_001)
                recordAnswer(SERVER, 4_001)
                recordEnd(SERVER, 4_001)
            },
            Case("a refusal of the first request begins the next wait", listOf(100_000)) {
                recordRefusal(SERVER, 1_000, 0)
                recordSelected(SERVER, 4_001)
                recordRefusal(SERVER, 1_000, 4_100)
                recordEnd(SERVER, 4_001)
            },
        )

    @TestFactory
    fun `requests that a server may receive`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val notices = BackendNotices(seed = 1).apply(case.record)
                val available = PROBED_AT_MS.filter { notices.availabilityOf(case.server, it) == Availability.Available }
                assertEquals(case.availableAtMs, available)
            }
        }

    private class WriteCase(
        val name: String,
        val selectedAtMs: Long,
        val mayWrite: Boolean,
        val record: BackendNotices.() -> Unit,
    )

    private val writeCases =
        listOf(
            WriteCase("no notice", 0, true) {},
            WriteCase("leaving", 0, false) { recordLeaving(SERVER, 1) },
            WriteCase("refused with a wait after the selection", 0, false) { recordRefusal(SERVER, 1_000, 1) },
            WriteCase("selected after the wait", 1_251, true) { recordRefusal(SERVER, 1_000, 1) },
        )

    @TestFactory
    fun `a request that waits for a connection is not written after a notice`() =
        writeCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                assertEquals(case.mayWrite, BackendNotices(seed = 1).apply(case.record).mayWrite(SERVER, case.selectedAtMs))
            }
        }

    @Test
    fun `what is not available tells since when and until when`() {
        val notices = BackendNotices(seed = 1)
        notices.recordRefusal(SERVER, 1_000, 10)
        val paused = assertIs<Availability.Paused>(notices.availabilityOf(SERVER, 20))
        assertEquals(10, paused.sinceMs)
        assertTrue(paused.untilMs in 1_010..1_260, "$paused")
        notices.recordSelected(SERVER, 5_000)
        assertEquals(Availability.Returning(10, 6_000), notices.availabilityOf(SERVER, 5_000))
        notices.recordLeaving(SERVER, 5_100)
        assertEquals(Availability.Leaving(5_100), notices.availabilityOf(SERVER, 9_000))
    }

    @Test
    fun `a notice that is known changes nothing`() {
        val notices = BackendNotices(seed = 1)
        assertEquals(listOf(true, false), listOf(0L, 1L).map { notices.recordLeaving(SERVER, it) })
        assertEquals(listOf(true, false, true), listOf(1_000L, 999L, 1_001L).map { notices.recordRefusal(SERVER, it, 0) })
    }

    /**
     * Simulates a pool of which every server refuses every instance with the same wait. Each instance has a request for each server in
     * each millisecond; each server answers 100 ms after it has received a request.
     */
    @Test
    fun `a pool of which all servers had a wait is not stampeded at its end`() {
        val servers = List(SERVERS) { Incarnation(BackendId("s$it"), 1) }
        val instances = List(INSTANCES) { BackendNotices(seed = it) }
        for (server in servers) instances.forEach { it.recordRefusal(server, WAIT_MS, 0) }
        val received = servers.associateWith { ArrayList<Long>() }
        for (server in servers) {
            for (instance in instances) {
                val firstAtMs = (0..MAX_RETURN_MS).first { instance.availabilityOf(server, it) == Availability.Available }
                instance.recordSelected(server, firstAtMs)
                (firstAtMs until firstAtMs + ANSWER_MS).forEach {
                    assertIs<Availability.Returning>(instance.availabilityOf(server, it))
                }
                assertTrue(instance.recordAnswer(server, firstAtMs))
                received.getValue(server) += firstAtMs
            }
        }
        assertTrue(received.values.flatten().all { it >= WAIT_MS }, "requests before the end of the wait")
        // A server that took all first requests at once would receive as many as there are instances.
        val mostInTenthOfSecond =
            received.values.maxOf { times ->
                times
                    .groupingBy { it / ANSWER_MS }
                    .eachCount()
                    .values
                    .max()
            }
        assertTrue(mostInTenthOfSecond <= INSTANCES / 4, "first requests at a server within $ANSWER_MS ms: $mostInTenthOfSecond")
    }

    private companion object {
        val SERVER = Incarnation(BackendId("a"), 1)
        val PROBED_AT_MS = listOf(0L, 999L, 1_250L, 4_000L, 5_000L, 100_000L)
        const val SERVERS = 20
        const val INSTANCES = 95
        const val WAIT_MS = 8_000L
        const val MAX_RETURN_MS = 10_000L
        const val ANSWER_MS = 100L
    }
}
