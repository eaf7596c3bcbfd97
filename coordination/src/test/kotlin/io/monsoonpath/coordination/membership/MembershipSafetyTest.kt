package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.sim.Component
import io.monsoonpath.coordination.sim.FailingSchedule
import io.monsoonpath.coordination.sim.Fault
import io.monsoonpath.coordination.sim.Observer
import io.monsoonpath.coordination.sim.Process
import io.monsoonpath.coordination.sim.ProcessContext
import io.monsoonpath.coordination.sim.SEED_COUNT
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.SimNode
import io.monsoonpath.coordination.sim.firstFailure
import io.monsoonpath.coordination.sim.randomFaults
import io.monsoonpath.coordination.sim.simMembers
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/**
 * Moves resources by takeover only, without handovers, under random faults.
 *
 * Guards against two instances that use the same resource, which leases alone have to prevent here.
 */
class MembershipSafetyTest {
    private class TakeoverOnlyHolder : Component {
        val held = HashSet<Int>()
        private var epoch = 0L

        override fun onStanding(
            nowMs: Long,
            standing: MembershipSnapshot,
        ): List<Effect> {
            if (standing.leaseEpoch != epoch) held.clear()
            epoch = standing.leaseEpoch
            held.removeIf { !standing.isHome(RESOURCES[it]) || standing.formerHomesOf(RESOURCES[it]).isNotEmpty() }
            val isFree = standing.mayAcquire(nowMs) && standing.takeoverSinceMs() != null
            if (isFree) held += RESOURCES.indices.filter { standing.isHome(RESOURCES[it]) }
            return emptyList()
        }
    }

    private class SingleUserCheck : Observer {
        lateinit var network: SimNetwork
        var violation: String? = null

        override fun afterStep(node: SimNode) {
            if (violation != null) return
            val users =
                network.nodes
                    .filter {
                        it.isUp &&
                            it.standing.mayAct(
                                it.nowMs,
                            )
                    }.map { it to it.component<TakeoverOnlyHolder>().held }
            for (resource in RESOURCES.indices) {
                val using = users.filter { resource in it.second }
                if (using.size > 1) violation = "resource $resource is used by ${using.map { it.first.id }} at ${network.nowMs} ms"
            }
        }
    }

    private fun createProcess(
        context: ProcessContext,
        safeguards: Safeguards,
    ) = Process(Membership(context.self, context.region, TIMING, context.startedMs, safeguards), listOf(TakeoverOnlyHolder()))

    private fun generateFaults(seed: Long): List<Fault> = randomFaults(Random(seed), INSTANCES, LAST_FAULT_MS)

    private fun run(
        seed: Long,
        faults: List<Fault>,
        safeguards: Safeguards,
    ): String? {
        val observer = SingleUserCheck()
        val initial = 1 + (seed % (INSTANCES - 1)).toInt()
        val network = SimNetwork(seed, simMembers(INSTANCES), initial, faults, observer) { createProcess(it, safeguards) }
        observer.network = network
        network.run(LAST_FAULT_MS + 3_000)
        return observer.violation
    }

    private fun search(
        seeds: LongRange,
        safeguards: Safeguards,
    ): FailingSchedule? = firstFailure(seeds, ::generateFaults) { seed, faults -> run(seed, faults, safeguards) }

    @Test
    fun `no schedule lets two instances use one resource`() {
        assertEquals(null, search(1..SEED_COUNT, Safeguards())?.toString())
    }

    @TestFactory
    fun `each safeguard is needed`(): List<DynamicTest> =
        listOf(
            "takeover wait" to Safeguards(takeoverWait = false),
            "recovery silence" to Safeguards(recoverySilence = false),
        ).map { (name, safeguards) ->
            dynamicTest(name) { println("$name: " + assertNotNull(search(1..MUTATION_SEEDS, safeguards))) }
        }

    /** Instances 0 and 4 adopt lists that 1, 2 and 3 never receive, because the platform is unreachable for these meanwhile. */
    private val skippedLists =
        listOf(
            Fault.Partition(5_000, 9_000, setOf(0, 4)),
            Fault.PlatformDown(5_000, 1_500, setOf(1, 2, 3)),
            Fault.PlatformDown(6_000, 8_000, setOf(0, 4)),
        ) + listOf(1, 2, 3).map { Fault.Drop(5_100L + it, it) } + listOf(1, 2, 3).map { Fault.Join(6_100L + it, it) } +
            listOf(0, 4).map { Fault.Drop(6_200L + it, it) }

    @TestFactory
    fun `a list that the other instances skip grants no lease`(): List<DynamicTest> =
        listOf(true, false).map { isCommitted ->
            dynamicTest("list commits required: $isCommitted") {
                val violation = run(4, skippedLists, Safeguards(commitLists = isCommitted))
                assertEquals(isCommitted, violation == null, violation)
            }
        }

    @Test
    fun `all instances obtain a lease and every resource is used`() {
        val network = SimNetwork(1, simMembers(9), 9, emptyList()) { createProcess(it, Safeguards()) }
        network.run(1_000)
        assertTrue(network.nodes.all { it.standing.mayAct(it.nowMs) })
        assertEquals(RESOURCES.size, network.nodes.sumOf { it.component<TakeoverOnlyHolder>().held.size })
    }

    private companion object {
        const val INSTANCES = 6
        const val LAST_FAULT_MS = 20_000L
        const val MUTATION_SEEDS = 4_000L
        val TIMING = MembershipTiming(leaseMs = 1_000)
        val RESOURCES = List(12) { resourceOf("test", "resource", it) }
    }
}
