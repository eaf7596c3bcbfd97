package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.sim.Fault
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Checks that requests within the limits are admitted at any instance, also during faults and replacements. */
class LimitLivenessTest {
    private val timing = MembershipTiming(leaseMs = 3_000)

    private fun simulation(
        instances: Int = 9,
        initial: Int = instances,
        faults: List<Fault> = emptyList(),
    ) = LimitSimulation(7, FIVE_WORKSPACES, instances, initial, faults, timing)

    private fun LimitSimulation.refused(): Map<String, Int> =
        tallies.mapKeys { it.key.value }.mapValues { it.value.refused }.filterValues { it > 0 }

    @TestFactory
    fun `requests within the limit are admitted for any distribution over the instances`(): List<DynamicTest> {
        val random = Random(1)
        val picks =
            listOf<Pair<String, () -> Int>>(
                "evenly" to { random.nextInt(9) },
                "all to one instance" to { 0 },
                "mostly to one instance" to { if (random.nextInt(10) < 8) 4 else random.nextInt(9) },
            )
        return picks.map { (name, pick) ->
            dynamicTest(name) {
                val simulation = simulation()
                simulation.addLoad(FILLED_MS, 30_000, loadPercent = 90, pick)
                assertEquals(null, simulation.run(31_000))
                assertEquals(emptyMap(), simulation.refused())
            }
        }
    }

    @Test
    fun `a whole burst is admitted at one instance`() {
        val simulation = simulation()
        for (workspace in FIVE_WORKSPACES) {
            repeat(workspace.burst) { i -> simulation.scheduleRequest(FILLED_MS + i, workspace.id) { simulation.network.nodes[2] } }
        }
        assertEquals(null, simulation.run(FILLED_MS + 1_000))
        assertEquals(emptyMap(), simulation.refused())
    }

    @Test
    fun `a rolling replacement of all instances refuses no request within the limits`() {
        val random = Random(2)
        val simulation = simulation(instances = 18, initial = 9, faults = rollingReplacement(9, FILLED_MS + 1_000))
        simulation.addLoad(FILLED_MS, 89_000, loadPercent = 90) { simulation.pickLiveInstance(random) }
        assertEquals(null, simulation.run(90_000))
        assertEquals(emptyMap(), simulation.refused())
        assertEquals(0, simulation.tallies.values.sumOf { it.notRunning })
    }

    @Test
    fun `the share of a failed instance is available again after list lag, lease and two seconds`() {
        val random = Random(3)
        val (deathMs, lagMs) = 10_000L to 2_000L
        val simulation = simulation(faults = listOf(Fault.Death(deathMs, 0, null), Fault.Drop(deathMs + lagMs, 0)))
        simulation.addLoad(FILLED_MS, 40_000, loadPercent = 90) { 1 + random.nextInt(8) }
        assertEquals(null, simulation.run(41_000))
        val lastRefusedMs = simulation.tallies.values.maxOf { it.lastRefusedMs }
        assertTrue(lastRefusedMs <= deathMs + lagMs + timing.leaseMs + 2_000, "last refusal at $lastRefusedMs ms")
    }

    @Test
    fun `requests are admitted again after the takeover wait if all instances were replaced at once`() {
        val random = Random(4)
        val shortWait = timing.copy(takeoverMs = 8_000)
        val faults =
            (0 until 3).map { Fault.Death(10_000, it, null) } + (3 until 6).map { Fault.Join(10_500L + it, it) } +
                (0 until 3).map { Fault.Drop(11_000L + it, it) }
        val simulation = LimitSimulation(7, FIVE_WORKSPACES, 6, 3, faults, shortWait)
        simulation.addLoad(40_000, 50_000, loadPercent = 90) { 3 + random.nextInt(3) }
        assertEquals(null, simulation.run(51_000))
        assertEquals(emptyMap(), simulation.refused())
    }
}
