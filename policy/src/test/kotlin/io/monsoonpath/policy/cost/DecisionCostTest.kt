package io.monsoonpath.policy.cost

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.Locale
import kotlin.test.assertTrue

/** Bounds the duration of each decision by a multiple of a reference loop in the same run, which takes about 2 µs on a 3 GHz core. */
internal class DecisionCostTest {
    private class Case(
        val name: String,
        val bound: Double,
        val decision: () -> Any?,
    )

    private var sink = 0L

    private fun cases(
        size: String,
        fixture: DecisionFixture,
        bound: Double,
    ) = listOf(
        Case("choose, $size", bound) { fixture.choose() },
        Case("admit, $size", bound) { fixture.admit() },
        Case("enqueue and dequeue, $size", bound) { fixture.enqueueAndDequeue() },
    )

    @TestFactory
    fun `a decision takes at most a multiple of the reference loop`() =
        (
            cases("13 workers and 5 workspaces", DecisionFixture(backendCount = 13, workspaceCount = 5), bound = 1.0) +
                cases("7,200 workers and 3,300 workspaces", DecisionFixture(backendCount = 7_200, workspaceCount = 3_300), bound = 10.0)
        ).map { case ->
            dynamicTest(case.name) {
                val ratio = (1..ROUNDS).map { meanNs(case.decision) / meanNs { referenceLoop(it.toLong()) } }.min()
                println(String.format(Locale.ROOT, "%s: %.3f reference loops", case.name, ratio))
                assertTrue(ratio <= case.bound, "${case.name} takes $ratio reference loops, allowed are ${case.bound}")
            }
        }

    private fun meanNs(decision: () -> Any?): Double {
        val startNs = System.nanoTime()
        repeat(CALLS) { sink += decision().hashCode() }
        return (System.nanoTime() - startNs).toDouble() / CALLS
    }

    private companion object {
        const val ROUNDS = 12
        const val CALLS = 20_000
    }
}
