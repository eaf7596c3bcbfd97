package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.permits.PermitLimits
import io.monsoonpath.coordination.sim.FailingSchedule
import io.monsoonpath.coordination.sim.Fault
import io.monsoonpath.coordination.sim.SEED_COUNT
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.firstFailure
import io.monsoonpath.coordination.sim.randomFaults
import io.monsoonpath.coordination.sim.simMembers
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Runs claims, permits, orders and loads under random faults.
 *
 * Guards against requests that are executed twice, cold backend servers that are overloaded, concurrent or reordered orders, and an
 * exceeded limit of the weight store. These come about if two processes grant for the same resource after a restart or takeover.
 */
class HolderSafetyTest {
    private val executions = AtomicLong()
    private val duplicates = AtomicLong()
    private val coldSends = AtomicLong()
    private val orders = AtomicLong()
    private val loads = AtomicLong()

    private fun servers() =
        listOf(
            ServerModel(BackendId("b1"), PermitLimits(coldLoad = 2, fullLoad = 5), reportsRun = true),
            ServerModel(BackendId("b2"), PermitLimits(coldLoad = 1, fullLoad = 12), reportsRun = false),
            ServerModel(BackendId("b3"), PermitLimits(coldLoad = 1, fullLoad = 30), reportsRun = true),
        )

    private fun generateFaults(seed: Long): List<Fault> =
        randomFaults(
            Random(seed),
            INSTANCES,
            LAST_FAULT_MS,
            maxFaults = 10,
            customs = listOf { Fault.Custom(0, "restart", it.nextLong(3)) },
        )

    private fun run(
        seed: Long,
        faults: List<Fault>,
        safeguards: HolderSafeguards,
        violationFilter: String,
        endMs: Long = END_MS,
    ): String? {
        val servers = servers()
        val limits = servers.associate { it.id to it.limits }
        val initial = 1 + (seed % (INSTANCES - 1)).toInt()
        val network = SimNetwork(seed, simMembers(INSTANCES), initial, faults) { holderProcess(it, limits, safeguards) }
        val environment = HolderEnvironment(network, servers, seed, violationFilter)
        network.onCustom("restart") { servers[it.toInt()].restart() }
        schedule(network, environment, Random(seed * 7 + 1))
        while (network.nowMs < endMs && environment.violation == null) network.run(network.nowMs + 500)
        executions.addAndGet(environment.tally.executions.toLong())
        duplicates.addAndGet(environment.tally.duplicates.toLong())
        coldSends.addAndGet(environment.tally.coldSends.toLong())
        orders.addAndGet(environment.tally.orders.toLong())
        loads.addAndGet(environment.tally.loads.toLong())
        return environment.violation
    }

    private fun schedule(
        network: SimNetwork,
        environment: HolderEnvironment,
        random: Random,
    ) {
        repeat(REQUESTS) { i ->
            val workspace = WorkspaceId("w${i % 2}")
            val request = RequestId("r${i / 2}")
            network.at(random.nextLong(END_MS)) { environment.request(workspace, request, resends = 4) }
        }
        repeat(SENDS) { network.at(random.nextLong(END_MS)) { environment.sendToServer(budgetMs = random.nextLong(200, 2_500)) } }
        repeat(ORDERS) { network.at(random.nextLong(END_MS)) { environment.order(random.nextInt(3)) } }
        repeat(LOADS) { network.at(random.nextLong(END_MS)) { environment.load() } }
    }

    /** Generates only faults that move resources without a handover, so that few seeds detect a disabled safeguard. */
    private fun generateMoveFaults(seed: Long): List<Fault> {
        val random = Random(seed)
        return List(MOVES) { random.nextLong(MOVES_FROM_MS, MOVES_END_MS) }.sorted().map { atMs ->
            val instance = random.nextInt(INSTANCES)
            when (random.nextInt(6)) {
                0 -> Fault.Drop(atMs, instance)
                1 -> Fault.Join(atMs, instance)
                2, 3 -> Fault.Custom(atMs, "restart", random.nextLong(3))
                else -> Fault.Death(atMs, instance, random.nextLong(5, 500))
            }
        }
    }

    @Test
    fun `no schedule executes a request twice, overloads a cold server or issues conflicting orders`() {
        val failing =
            firstFailure(1..SEED_COUNT, ::generateFaults) { seed, faults -> run(seed, faults, HolderSafeguards(), violationFilter = "") }
        assertEquals(null, failing?.toString())
        println("executions $executions, duplicates $duplicates, cold sends $coldSends, orders $orders, loads $loads")
        assertTrue(
            executions.get() > SEED_COUNT && duplicates.get() > SEED_COUNT && coldSends.get() > SEED_COUNT && orders.get() > SEED_COUNT,
        )
        assertTrue(loads.get() > SEED_COUNT)
    }

    private class Mutation(
        val name: String,
        val safeguards: HolderSafeguards,
        val violationFilter: String,
    )

    private val mutations =
        listOf(
            Mutation("a claim needs only one home", HolderSafeguards(claimQuorum = false), TWICE),
            Mutation("a restarted process grants claims at once", HolderSafeguards(restartAbstains = false), TWICE),
            Mutation("a restarted process grants permits at once", HolderSafeguards(restartAbstains = false), OVERLOAD),
            Mutation("no takeover wait for claims", HolderSafeguards(takeoverWait = false), TWICE),
            Mutation("no takeover wait for permits", HolderSafeguards(takeoverWait = false), OVERLOAD),
            Mutation("no takeover wait for orders", HolderSafeguards(takeoverWait = false), "has concurrent orders from"),
            Mutation("no takeover wait for the weight store", HolderSafeguards(takeoverWait = false), "the weight store"),
            Mutation("the fencing counter is reset", HolderSafeguards(fencingRises = false), "after 0"),
            Mutation("a permit is released on a timeout", HolderSafeguards(permitOutlivesTimeout = false), OVERLOAD),
        )

    @TestFactory
    fun `each safeguard is needed`(): List<DynamicTest> =
        mutations.map { mutation ->
            dynamicTest(mutation.name) {
                val failing: FailingSchedule? =
                    firstFailure(
                        1..MUTATION_SEEDS,
                        ::generateMoveFaults,
                    ) { seed, faults -> run(seed, faults, mutation.safeguards, mutation.violationFilter, MOVES_END_MS) }
                println("${mutation.name}: " + assertNotNull(failing))
            }
        }

    private companion object {
        const val TWICE = "was started again"
        const val OVERLOAD = "requests, limit"
        const val INSTANCES = 6
        const val LAST_FAULT_MS = 22_000L
        const val MOVES = 12
        const val MOVES_FROM_MS = 8_000L
        const val MOVES_END_MS = 18_000L
        const val END_MS = 26_000L
        const val REQUESTS = 120
        const val SENDS = 900
        const val ORDERS = 60
        const val LOADS = 60
        const val MUTATION_SEEDS = 2_000L
    }
}
