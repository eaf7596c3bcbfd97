package io.monsoonpath.policy.load

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Ideas of other systems, measured by leaving each out or putting each in. */
internal class PolicyAblationTest {
    @Test
    fun `a floor alone loses what borrowing keeps when the balancer is uneven`() {
        val results = listOf(true, false).map { runLoad(KOVACS, Decider.POLICY, 0.7, emptySet(), 1, RunOptions(skew = 0.6, borrow = it)) }
        println("uneven balancer, attainment: floor with work conservation ${results[0].attainment}, floor alone ${results[1].attainment}")
        assertTrue(results[0].attainment >= 0.995, "attainment ${results[0].attainment}")
        assertTrue(results[1].attainment < results[0].attainment, "attainment of the floor alone ${results[1].attainment}")
    }

    @Test
    fun `told demand keeps the share of a workspace that one instance sees most of`() {
        val runs = listOf(true, false).map { exchange -> ROTACION_SEEDS.map { runUneven(exchange, it) } }
        val worst = runs.map { results -> results.minOf { it.worstAttainment } }
        println("uneven balancer and flood, worst workspace: with told demand ${worst[0]}, without ${worst[1]}")
        assertTrue(worst[0] > worst[1])
    }

    private fun runUneven(
        exchange: Boolean,
        seed: Long,
    ) = runLoad(ROTACION, Decider.POLICY, 0.8, setOf(Fault.FLOOD), seed, RunOptions(skew = 0.2, exchangeDemand = exchange))

    @Test
    fun `permits counted by each instance alone overload a cold server`() {
        val sends =
            listOf(true, false).map { shared ->
                runLoad(ROTACION, Decider.POLICY, 0.8, setOf(Fault.COLD_SERVER), 1, RunOptions(sharedPermits = shared)).sendsAboveColdLoad
            }
        println("sends above the cold load: shared permits ${sends[0]}, counted in each process ${sends[1]}")
        assertEquals(0, sends[0])
        assertTrue(sends[1] > 0)
    }

    private companion object {
        val ROTACION_SEEDS = 1L..3L
    }
}
