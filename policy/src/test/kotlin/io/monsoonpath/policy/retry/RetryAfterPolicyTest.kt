package io.monsoonpath.policy.retry

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryAfterPolicyTest {
    private class Case(
        val name: String,
        val refusedAtMs: List<Long>,
        val waitMs: Long,
        val expectedMs: Long,
    )

    private val cases =
        listOf(
            Case("a single refusal waits for a batch", listOf(0), 0, 250),
            Case("the wait that stood in the way is added", listOf(0), 300, 550),
            Case("so is the time that the overload has lasted", listOf(0, 900, 1_800), 0, 2_050),
            Case("a pause ends an overload", listOf(0, 900, 1_901), 0, 250),
            Case("no caller is sent away for longer than it would wait", (0L..20_000L step 500).toList(), 0, 5_250),
        )

    @TestFactory
    fun `a refused caller comes back when there may be room`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val policy = RetryAfterPolicy()
                val delaysMs = case.refusedAtMs.map { policy.recordRefusal("route", case.waitMs, it, seed = 0) }
                assertEquals(case.expectedMs, delaysMs.last())
            }
        }

    @Test
    fun `routes have overloads of their own, and callers are spread`() {
        val policy = RetryAfterPolicy()
        policy.recordRefusal("a", 0, 0, seed = 0)
        policy.recordRefusal("a", 0, 900, seed = 0)
        assertEquals(250, policy.recordRefusal("b", 0, 900, seed = 0))
        assertEquals(setOf(1_150L, 1_151L, 1_724L), listOf(0, 1, 574).mapTo(HashSet()) { policy.recordRefusal("a", 0, 900, it) })
    }

    /**
     * Replays an overload: for 4 s twice as much arrives as is served, from callers that come back once. Told the wait of a batch alone,
     * most are refused twice; told more the longer it lasts, most of those that the overload turned away find room when they return.
     */
    @Test
    fun `callers that come back once find room`() {
        val policy = RetryAfterPolicy()
        val constantShare = replay { _, seed -> 250L + Math.floorMod(seed, 250) }
        val growingShare = replay { nowMs, seed -> policy.recordRefusal("route", 0, nowMs, seed) }
        assertTrue(growingShare <= 0.5, "refused twice: $growingShare of those refused")
        assertTrue(constantShare > 0.5, "refused twice if told the same always: $constantShare of those refused")
    }

    private fun replay(retryAfterMs: (Long, Int) -> Long): Double {
        val retriesAtMs = HashMap<Long, Int>()
        var refused = 0
        var refusedTwice = 0
        var served = 0.0
        for (nowMs in 0L until 12_000L) {
            served = (served + SERVED_PER_MS).coerceAtMost(QUEUE_CAPACITY)
            repeat(retriesAtMs.remove(nowMs) ?: 0) { if (served >= 1) served-- else refusedTwice++ }
            if (nowMs % (if (nowMs < 4_000) BURST_EVERY_MS else USUAL_EVERY_MS) != 0L) continue
            if (served >= 1) {
                served--
                continue
            }
            refused++
            retriesAtMs.merge(nowMs + retryAfterMs(nowMs, (nowMs * SEED_FACTOR).toInt()), 1, Int::plus)
        }
        return refusedTwice.toDouble() / refused
    }

    private companion object {
        const val SERVED_PER_MS = 0.05
        const val QUEUE_CAPACITY = 5.0
        const val BURST_EVERY_MS = 10L
        const val USUAL_EVERY_MS = 40L
        const val SEED_FACTOR = 7_919L
    }
}
