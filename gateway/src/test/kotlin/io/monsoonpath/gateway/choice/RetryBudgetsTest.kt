package io.monsoonpath.gateway.choice

import io.monsoonpath.model.PoolId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class RetryBudgetsTest {
    private class Case(
        val name: String,
        val views: List<FleetView?>,
        val expected: Int,
    )

    private fun view(members: Int) = FleetView(members, "h0", List(members) { "h$it" })

    @TestFactory
    fun `an instance has a share of the reserve once it knows the fleet`() =
        listOf(
            Case("a small fleet", listOf(view(10)), 10),
            Case("a large fleet", listOf(view(100)), 1),
            Case("an unknown fleet", listOf(null), 0),
            Case("a fleet that becomes known", listOf(null, view(10)), 10),
            Case("a fleet that turns out to be larger", listOf(view(10), view(100)), 1),
            Case("a fleet that shrinks", listOf(view(100), view(10)), 1),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                var view: FleetView? = null
                val budgets = RetryBudgets(ratio = 0.2, reserve = 200) { view }
                case.views.forEach {
                    view = it
                    budgets.of(POOL)
                }
                assertEquals(case.expected, generateSequence { budgets.of(POOL).tryAcquire().takeIf { it } }.count())
            }
        }

    private companion object {
        val POOL = PoolId("p")
    }
}
