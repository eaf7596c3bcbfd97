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
            Case("the minimum delay after a single refusal", listOf(0), 0, 250),
            Case("the wait that led to the refusal is added", listOf(0), 300, 550),
            Case("the age of the overload is added", listOf(0, 900, 1_800), 0, 2_050),
            Case("a pause without refusals ends the overload", listOf(0, 900, 1_901), 0, 250),
            Case("the age of the overload is capped", (0L..20_000L step 500).toList(), 0, 5_250),
        )

    @TestFactory
    fun `the delay is the minimum plus the wait plus the age of the overload`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val policy = RetryAfterPolicy()
                val delaysMs = case.refusedAtMs.map { policy.recordRefusal("route", case.waitMs, it, seed = 0) }
                assertEquals(case.expectedMs, delaysMs.last())
            }
        }

    @Test
    fun `overloads are tracked by route and the seed determines the jitter`() {
        val policy = RetryAfterPolicy()
        policy.recordRefusal("a", 0, 0, seed = 0)
        policy.recordRefusal("a", 0, 900, seed = 0)
        assertEquals(250, policy.recordRefusal("b", 0, 900, seed = 0))
        assertEquals(setOf(1_150L, 1_151L, 1_724L), listOf(0, 1, 574).mapTo(HashSet()) { policy.recordRefusal("a", 0, 900, it) })
    }

    /**
     * Simulates an overload: for 4 s, twice as many requests arrive as can be served, from callers that retry once. With a constant
     * delay of one batch, most refused callers are refused again. With a delay that grows with the age of the overload, most succeed.
     */
    @Test
    fun `most callers that retry once are served`() {
        val policy = RetryAfterPolicy()
        val constantShare = replay { _, seed -> 250L + Math.floorMod(seed, 250) }
        val growingShare = replay { nowMs, seed -> policy.recordRefusal("route", 0, nowMs, seed) }
        assertTrue(growingShare <= 0.5, "share of refused callers that were refused twice: $growingShare")
        assertTrue(constantShare > 0.5, "share of refused callers that were refused twice with a constant delay: $constantShare")
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
