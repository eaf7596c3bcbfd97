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
            Case("empty pool", "none") { poolView(emptyList(), emptyList(), NOW_MS) },
            Case("less loaded wins", "a") { poolView(near(busy("a", 0), busy("b", 8)), emptyList(), NOW_MS) },
            Case("region first", "a") { poolView(near(warmBackend("a")), far(warmBackend("b")), NOW_MS) },
            Case("spill by expected completion", "b") { poolView(near(busy("a", 16)), far(busy("b", 0)), NOW_MS) },
            Case("slow server loses", "b") { poolView(near(slow("a"), warmBackend("b")), emptyList(), NOW_MS) },
            Case("excluded server is not taken", "none", ChoiceQuery(100.0, excluded = listOf(BackendId("a")))) {
                poolView(near(warmBackend("a")), emptyList(), NOW_MS)
            },
            Case("prefix holder wins", "b", ChoiceQuery(100.0, prefixHash = 7, prefixSaving = 0.5), hintsFor("b")) {
                poolView(near(warmBackend("a"), warmBackend("b")), emptyList(), NOW_MS)
            },
            Case("loaded prefix holder loses", "a", ChoiceQuery(100.0, prefixHash = 7, prefixSaving = 0.5), hintsFor("b")) {
                poolView(near(busy("a", 0), busy("b", 16)), emptyList(), NOW_MS)
            },
            Case("ejected server is the last resort", "a") { poolView(near(ejected("a")), emptyList(), NOW_MS) },
            Case("cold server at its limit", "busy") { poolView(near(coldAndBusy("a", 2)), emptyList(), NOW_MS) },
            Case("cold server below its limit", "a permit") { poolView(near(coldAndBusy("a", 1)), emptyList(), NOW_MS) },
        )

    @TestFactory
    fun `chooses by expected completion`() =
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
    fun `does not herd on lagging reports`(
        choosers: Int,
        servers: Int,
        callsPerChooser: Int,
    ) {
        val views = List(choosers) { laggingBackends(servers) }
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
        assertTrue(totals.max() <= bound, "most loaded ${totals.max()}, mean $mean, bound $bound")
    }

    /** One server looks idle to everyone, the others half loaded. */
    private fun laggingBackends(servers: Int): List<TrackedBackend> =
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
