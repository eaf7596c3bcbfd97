package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.permits.PermitLimits
import io.monsoonpath.coordination.sim.Fault
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.simMembers
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that nothing within the limits is refused while all live instances answer, also during rolling restarts. */
class HolderLivenessTest {
    private class Case(
        val name: String,
        val members: Int,
        val initial: Int,
        val faults: List<Fault>,
        val stopped: Set<Int> = emptySet(),
    )

    private fun rolling(
        count: Int,
        everyMs: Long,
    ): List<Fault> =
        (0 until count).flatMap { i ->
            val atMs = FIRST_MS + i * everyMs
            listOf(Fault.Join(atMs, count + i), Fault.Leave(atMs + everyMs / 2, i), Fault.Drop(atMs + everyMs * 3 / 4, i))
        }

    private fun restartInPlace(
        count: Int,
        everyMs: Long,
    ): List<Fault> =
        (0 until count).flatMap { i ->
            val atMs = FIRST_MS + i * everyMs
            listOf(Fault.Leave(atMs, i), Fault.Death(atMs + 1_000, i, restartAfterMs = 100), Fault.Join(atMs + 2_500, i))
        }

    private val cases =
        listOf(
            Case("one instance", 1, 1, emptyList()),
            Case("two instances", 2, 2, emptyList()),
            Case("three instances", 3, 3, emptyList()),
            Case("nine instances", 9, 9, emptyList()),
            Case("one of nine instances leaves", 9, 9, listOf(Fault.Leave(FIRST_MS, 4)), setOf(4)),
            Case("a tenth instance joins", 10, 9, listOf(Fault.Join(FIRST_MS, 9))),
            Case("six instances are replaced one after another", 12, 6, rolling(6, 4_000), (0 until 6).toSet()),
            Case("six instances are restarted one after another under their ids", 6, 6, restartInPlace(6, 4_500)),
        )

    @TestFactory
    fun `nothing within the limits is refused`(): List<DynamicTest> = cases.map { case -> dynamicTest(case.name) { check(case) } }

    private fun check(case: Case) {
        val servers = List(4) { ServerModel(BackendId("b$it"), PermitLimits(coldLoad = 20, fullLoad = 4_000), reportsRun = true) }
        val limits = servers.associate { it.id to it.limits }
        val network =
            SimNetwork(5, simMembers(case.members), case.initial, case.faults) { holderProcess(it, limits, HolderSafeguards()) }
        val environment = HolderEnvironment(network, servers, seed = 5) { node -> node.standing.mayAct(node.nowMs) }
        val random = Random(9)
        val endMs = (case.faults.maxOfOrNull { it.atMs } ?: FIRST_MS) + 4_000
        repeat(((endMs - FROM_MS) / 10).toInt()) { i ->
            network.at(FROM_MS + random.nextLong(endMs - FROM_MS)) { environment.request(WorkspaceId("w"), RequestId("r$i"), resends = 0) }
            network.at(FROM_MS + random.nextLong(endMs - FROM_MS)) { environment.sendToServer(budgetMs = 400) }
        }
        case.stopped.forEach { i ->
            val leftMs = case.faults.first { it is Fault.Leave && it.instance == i }.atMs + HANDOVER_MS
            network.at(leftMs) { assertTrue(network.nodes[i].component<HolderComponent>().isHandedOver, "e$i has not handed over") }
        }
        network.run(endMs)
        val ordersBefore = servers.map { it.accepted.size }
        servers.indices.forEach { i -> network.at(endMs) { environment.order(i) } }
        network.at(endMs) { environment.load() }
        network.run(endMs + 2_000)
        assertEquals(null, environment.violation)
        assertEquals(ordersBefore.map { it + 1 }, servers.map { it.accepted.size }, "orders accepted by each server")
        assertEquals(1, environment.tally.loads, "loads started")
        assertTrue(environment.tally.executions > 100 && environment.tally.sends > 100)
        assertEquals(emptyMap<String, Int>(), environment.tally.refusals.toMap())
    }

    private companion object {
        const val FROM_MS = 10_000L
        const val FIRST_MS = 14_000L

        /** One interval of 200 ms between reads of the list, and the handover itself. */
        const val HANDOVER_MS = 400L
    }
}
