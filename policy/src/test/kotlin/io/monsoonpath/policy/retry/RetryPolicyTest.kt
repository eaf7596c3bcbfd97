package io.monsoonpath.policy.retry

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId
import io.monsoonpath.policy.deadline.DurationSummary
import io.monsoonpath.policy.deadline.expectedDuration
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.SplittableRandom
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource(
        "LOST, true, 1, 500, RETRY",
        "LOST, false, 1, 500, NOT_IDEMPOTENT",
        "TIMED_OUT, false, 1, 500, NOT_IDEMPOTENT",
        "NOT_SENT, false, 1, 500, RETRY",
        "REJECTED, false, 1, 500, RETRY",
        "LOST, true, 3, 500, TOO_MANY_ATTEMPTS",
        "LOST, true, 1, 50, NO_TIME",
    )
    fun `a call is retried only if it may run again and time is left`(
        failure: AttemptFailure,
        idempotent: Boolean,
        attempts: Int,
        remainingMs: Long,
        expected: String,
    ) {
        val budget = retryBudget().also { b -> repeat(10) { b.recordFirstAttempt() } }
        val decision = decideRetry(FailedAttempt(failure, idempotent, attempts, remainingMs, neededMs = 100.0), budget)
        assertEquals(expected, (decision as? RetryDecision.GiveUp)?.reason?.name ?: "RETRY")
    }

    @ParameterizedTest
    @CsvSource("retry, 0.10", "hedge, 0.05")
    fun `extra attempts never exceed their share of the first attempts`(
        kind: String,
        share: Double,
    ) {
        val budget = if (kind == "retry") retryBudget() else hedgeBudget()
        val random = SplittableRandom(7)
        var first = 0
        var extra = 0
        repeat(20_000) {
            if (random.nextInt(3) > 0) {
                budget.recordFirstAttempt()
                first++
            } else if (budget.tryAcquire()) {
                extra++
            }
            assertTrue(extra <= share * first + 1e-9, "$extra extra attempts for $first first attempts")
        }
    }

    @Test
    fun `only idempotent calls with enough time for a second attempt are hedged`() {
        val durations = DurationSummary(meanMs = 100.0, medianMs = 100.0, p95Ms = 200.0, p99Ms = 300.0, count = 50)
        assertEquals(200, hedgeDelayMsOrNull(idempotent = true, durations, remainingMs = 300))
        assertNull(hedgeDelayMsOrNull(idempotent = true, durations, remainingMs = 299))
        assertNull(hedgeDelayMsOrNull(idempotent = false, durations, remainingMs = 4_000))
        assertNull(hedgeDelayMsOrNull(idempotent = true, expectedDuration(100), remainingMs = 4_000))
    }

    @Test
    fun `one answer is accepted and the other attempt is cancelled`() {
        val race = AttemptRace()
        val first = race.start(ONE)
        val second = race.start(TWO)
        assertEquals(listOf(RaceEffect.Drop(first)), race.recordAnswer(first, TWO), "an answer from another server")
        assertEquals(listOf(RaceEffect.Accept(second), RaceEffect.Cancel(first, ONE)), race.recordAnswer(second, TWO))
        assertEquals(listOf(RaceEffect.Drop(first)), race.recordAnswer(first, ONE), "a late answer")
        assertEquals(listOf(RaceEffect.Drop(second)), race.recordAnswer(second, TWO), "a duplicate answer")
    }

    @Test
    fun `a race fails when its last running attempt fails`() {
        val race = AttemptRace()
        val attempts = listOf(race.start(ONE), race.start(TWO))
        val effects = attempts.flatMap { race.recordFailure(it, AttemptFailure.LOST) }
        assertEquals(listOf<RaceEffect>(RaceEffect.AllFailed(AttemptFailure.LOST)), effects)
        assertEquals(AttemptId(3), race.start(ONE))
        assertEquals(listOf<RaceEffect>(RaceEffect.Cancel(AttemptId(3), ONE)), race.abandon())
    }

    private companion object {
        val ONE = BackendId("one")
        val TWO = BackendId("two")
    }
}
