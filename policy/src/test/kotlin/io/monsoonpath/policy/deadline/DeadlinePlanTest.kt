package io.monsoonpath.policy.deadline

import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertIs

internal class DeadlinePlanTest {
    private val plan = DeadlinePlan(listOf(summary(20.0, 40.0), summary(30.0, 60.0), summary(900.0, 1_600.0)))

    @ParameterizedTest
    @CsvSource(
        "0, 4000, 0, true",
        "0, 1651, 0, true",
        "0, 1650, 0, false",
        "0, 2000, 100, true",
        "0, 2000, 120, false",
        "2, 1600, 0, true",
        "2, 1599, 0, false",
        "2, 0, 0, false",
    )
    fun `refuses a stage if the pipeline would probably miss the deadline`(
        stage: Int,
        remainingMs: Long,
        waitMs: Double,
        expected: Boolean,
    ) {
        assertEquals(expected, plan.decide(stage, nowMs = 0, deadlineAtMs = remainingMs, waitMs) is StageDecision.Run)
    }

    @ParameterizedTest
    @CsvSource("0, 4000, 2369", "1, 4000, 2400", "2, 4000, 4000", "1, 1640, 164")
    fun `the budget of a stage reserves time for the later stages`(
        stage: Int,
        remainingMs: Long,
        budgetMs: Long,
    ) {
        val decision = assertIs<StageDecision.Run>(plan.decide(stage, nowMs = 0, deadlineAtMs = remainingMs))
        assertEquals(budgetMs, decision.budgetMs)
    }

    @ParameterizedTest
    @CsvSource("0, 931, false", "0, 930, true", "2, 1, false", "2, 0, true")
    fun `cancels a stage if the later ones no longer fit into the time left`(
        stage: Int,
        remainingMs: Long,
        unreachable: Boolean,
    ) = assertEquals(unreachable, plan.isDeadlineUnreachable(stage, nowMs = 0, deadlineAtMs = remainingMs))

    @Test
    fun `quantiles reflect the last minute`() {
        val durations = StageDurations(expectedMs = 50)
        val mediansMs = mutableListOf(durations.summary.medianMs)
        for (second in 0L until 140L) {
            repeat(10) { durations.record(if (second < 70) 100 else 300) }
            durations.rotate(second * 1_000)
            if (second == 69L || second == 139L) mediansMs += durations.summary.medianMs
        }
        assertEquals(listOf(50.0, 100.0, 301.0), mediansMs)
    }

    private fun summary(
        medianMs: Double,
        p95Ms: Double,
    ) = DurationSummary(medianMs, medianMs, p95Ms, p99Ms = p95Ms, count = 100)
}
