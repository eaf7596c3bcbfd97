package io.monsoonpath.policy.batch

import io.monsoonpath.model.PoolId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

class StandingQueueDetectorTest {
    private class Case(
        val name: String,
        val atMs: List<Long>,
        val waitMs: List<Long>,
        val expected: Boolean,
    )

    private val cases =
        listOf(
            Case("a single observation is not a standing queue", listOf(0), listOf(900), false),
            Case("a wait that stays long for two seconds is a standing queue", listOf(0, 1_000, 2_000), listOf(900, 900, 900), true),
            Case("a wait that stays long for less than two seconds is a burst", listOf(0, 1_000, 1_999), listOf(900, 900, 900), false),
            Case("a short wait restarts the period", listOf(0, 1_000, 2_000, 3_000), listOf(900, 199, 900, 900), false),
            Case("a gap between observations restarts the period", listOf(0, 1_000, 3_001), listOf(900, 900, 900), false),
            Case("short waits never form a standing queue", listOf(0, 1_000, 2_000, 3_000), listOf(199, 199, 199, 199), false),
        )

    @TestFactory
    fun `a wait that stays long is a standing queue`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val detector = StandingQueueDetector()
                val standing = case.atMs.zip(case.waitMs) { atMs, waitMs -> detector.observe(PoolId("p"), waitMs, atMs) }
                assertEquals(case.expected, standing.last())
            }
        }
}
