package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class BackendChooserTest {
    private class Case(
        val name: String,
        val expected: String,
        val query: ChoiceQuery = ChoiceQuery(expectedMs = 100.0),
        val hints: PrefixHints = PrefixHints(slots = 16),
        val pool: () -> PoolView,
    )

    private val cases =
        listOf(
            Case("an empty pool has no backend", "none") { poolView(emptyList(), emptyList(), NOW_MS) },
            Case("the less loaded server is chosen", "a") { poolView(near(busy("a", 0), busy("b", 8)), emptyList(), NOW_MS) },
            Case("a server of the own region is preferred", "a") { poolView(near(warmBackend("a")), far(warmBackend("b")), NOW_MS) },
            Case("another region is chosen if it is faster", "b") { poolView(near(busy("a", 16)), far(busy("b", 0)), NOW_MS) },
            Case("a slow server is avoided", "b") { poolView(near(slow("a"), warmBackend("b")), emptyList(), NOW_MS) },
            Case("an excluded server is not chosen", "none", ChoiceQuery(100.0, excluded = listOf(BackendId("a")))) {
                poolView(near(warmBackend("a")), emptyList(), NOW_MS)
            },
            Case("a prefix holder is preferred", "b", ChoiceQuery(100.0, prefixHash = 7, prefixSaving = 0.5), hintsFor("b")) {
                poolView(near(warmBackend("a"), warmBackend("b")), emptyList(), NOW_MS)
            },
            Case("a loaded prefix holder is avoided", "a", ChoiceQuery(100.0, prefixHash = 7, prefixSaving = 0.5), hintsFor("b")) {
                poolView(near(busy("a", 0), busy("b", 16)), emptyList(), NOW_MS)
            },
            Case("an ejected server is chosen if there is no other", "a") { poolView(near(ejected("a")), emptyList(), NOW_MS) },
            Case("a cold server at its limit is busy", "busy") { poolView(near(coldAndBusy("a", 2)), emptyList(), NOW_MS) },
            Case("a cold server below its limit needs a permit", "a permit") { poolView(near(coldAndBusy("a", 1)), emptyList(), NOW_MS) },
        )

    @TestFactory
    fun `chooses the server with the earliest expected completion`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val pool = case.pool()
                for (seed in 1L..50L) {
                    val choice = BackendChooser(case.hints).choose(pool, case.query, NOW_MS, seed)
                    assertEquals(case.expected, choice.name(), "seed $seed")
                }
            }
        }

    @ParameterizedTest
    @CsvSource("9, 24, 2", "9, 13, 2", "410, 720, 2")
    fun `delayed reports do not send all calls to one server`(
        choosers: Int,
        servers: Int,
        callsPerChooser: Int,
    ) {
        val views = List(choosers) { backendsWithDelayedReports(servers) }
        val totals = IntArray(servers)
        views.forEachIndexed { i, backends ->
            val pool = poolView(near(*backends.toTypedArray()), emptyList(), NOW_MS)
            repeat(callsPerChooser) { call ->
                val choice = BackendChooser(PrefixHints(16)).choose(pool, ChoiceQuery(100.0), NOW_MS, seed = i * 1_000L + call)
                val chosen = (choice as Choice.Chosen).backend
                chosen.recordStart()
                totals[chosen.id.value.toInt()]++
            }
        }
        val mean = choosers.toDouble() * callsPerChooser / servers
        val bound = mean + 4 * kotlin.math.sqrt(mean) + 2
        assertTrue(totals.max() <= bound, "maximum load ${totals.max()}, mean $mean, bound $bound")
    }

    /** Returns backends whose reports show one idle server and half load on all others. */
    private fun backendsWithDelayedReports(servers: Int): List<TrackedBackend> =
        List(servers) { i -> warmBackend("$i").also { it.recordReport(report(if (i == 0) 0 else 4, NOW_MS - 500)) } }

    private fun busy(
        name: String,
        load: Int,
    ) = warmBackend(name).also { it.recordReport(report(load, NOW_MS)) }

    private fun slow(name: String) =
        warmBackend(name).also { b ->
            repeat(20) {
                b.recordStart()
                b.recordEnd(4.0, ok = true, NOW_MS)
            }
        }

    private fun ejected(name: String) = warmBackend(name).also { it.eject(NOW_MS + 1) }

    private fun coldAndBusy(
        name: String,
        load: Int,
    ) = warmBackend(name).also { b ->
        b.reset()
        repeat(load) { b.recordStart() }
    }

    private fun hintsFor(name: String) = PrefixHints(16).also { it.recordStored(7, BackendId(name), NOW_MS) }

    private fun Choice.name(): String =
        when (this) {
            is Choice.Chosen -> backend.id.value + if (needsPermit) " permit" else ""
            Choice.NoBackend -> "none"
            Choice.AllBusy -> "busy"
        }

    private companion object {
        const val NOW_MS = 100_000L
    }
}
