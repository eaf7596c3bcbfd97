package io.monsoonpath.policy.load

import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Measures the effect of single mechanisms by disabling each of them. */
internal class PolicyAblationTest {
    @Test
    fun `borrowing raises the attainment under an uneven load balancer`() {
        val results = listOf(true, false).map { runLoad(KOVACS, Decider.POLICY, 0.7, emptySet(), 1, RunOptions(skew = 0.6, borrow = it)) }
        println("uneven load balancer, attainment: with borrowing ${results[0].attainment}, floor only ${results[1].attainment}")
        assertTrue(results[0].attainment >= 0.995, "attainment ${results[0].attainment}")
        assertTrue(results[1].attainment < results[0].attainment, "attainment without borrowing ${results[1].attainment}")
    }

    @Test
    fun `demand exchange preserves the share of a workspace with uneven load`() {
        val runs = listOf(true, false).map { exchange -> ROTACION_SEEDS.map { runUneven(exchange, it) } }
        val worst = runs.map { results -> results.minOf { it.worstAttainment } }
        println("uneven load balancer and flood, worst workspace: with demand exchange ${worst[0]}, without ${worst[1]}")
        assertTrue(worst[0] > worst[1])
    }

    private fun runUneven(
        exchange: Boolean,
        seed: Long,
    ) = runLoad(ROTACION, Decider.POLICY, 0.8, setOf(Fault.FLOOD), seed, RunOptions(skew = 0.2, exchangeDemand = exchange))

    @Test
    fun `permits that are counted per instance overload a cold server`() {
        val sends =
            listOf(true, false).map { shared ->
                runLoad(ROTACION, Decider.POLICY, 0.8, setOf(Fault.COLD_SERVER), 1, RunOptions(sharedPermits = shared)).sendsAboveColdLoad
            }
        println("sends above the cold load: shared permits ${sends[0]}, permits per instance ${sends[1]}")
        assertEquals(0, sends[0])
        assertTrue(sends[1] > 0)
    }

    private companion object {
        val ROTACION_SEEDS = 1L..3L
    }
}
