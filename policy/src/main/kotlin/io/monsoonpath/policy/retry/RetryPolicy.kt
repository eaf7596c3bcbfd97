package io.monsoonpath.policy.retry

import io.monsoonpath.policy.deadline.DurationSummary

/** The way in which an attempt failed. */
enum class AttemptFailure {
    /** Not a single byte of the call reached the backend server. */
    NOT_SENT,

    /** After the call was sent, the connection was lost or the answer was unusable. */
    LOST,

    /** The backend server rejected the call as overloaded without running it. */
    REJECTED,

    /** No answer was received within the time budget of the stage. */
    TIMED_OUT,
}

/** The decision whether to retry a failed call. */
sealed interface RetryDecision {
    /** Another attempt is allowed, on a different backend server. */
    data object Retry : RetryDecision

    /**
     * The call must not be retried.
     *
     * @property mayHaveRun whether the backend server may have run the failed attempt
     */
    data class GiveUp(
        val reason: GiveUpReason,
        val mayHaveRun: Boolean,
    ) : RetryDecision
}

/** The reason why a failed call is not retried. */
enum class GiveUpReason { NOT_IDEMPOTENT, TOO_MANY_ATTEMPTS, NO_TIME, BUDGET_USED_UP }

/**
 * A failed attempt.
 *
 * @property idempotent whether the stage may run more than once
 * @property attempts the number of attempts of the stage so far
 * @property remainingMs the remaining time for the stage
 * @property neededMs the usual duration of the stage
 */
data class FailedAttempt(
    val failure: AttemptFailure,
    val idempotent: Boolean,
    val attempts: Int,
    val remainingMs: Long,
    val neededMs: Double,
)

/** Decides whether to retry [failed]. A retry is deducted from [budget]. */
fun decideRetry(
    failed: FailedAttempt,
    budget: AttemptBudget,
): RetryDecision {
    val mayHaveRun = failed.failure == AttemptFailure.LOST || failed.failure == AttemptFailure.TIMED_OUT
    val reason =
        when {
            mayHaveRun && !failed.idempotent -> GiveUpReason.NOT_IDEMPOTENT
            failed.attempts >= MAX_ATTEMPTS -> GiveUpReason.TOO_MANY_ATTEMPTS
            failed.remainingMs < failed.neededMs -> GiveUpReason.NO_TIME
            !budget.tryAcquire() -> GiveUpReason.BUDGET_USED_UP
            else -> return RetryDecision.Retry
        }
    return RetryDecision.GiveUp(reason, mayHaveRun)
}

/**
 * Returns the delay in milliseconds after which a call may be hedged by a second attempt, or null if it must not be hedged.
 *
 * A hedge doubles the work of its call. Therefore only the slowest calls are hedged, and as late as the second attempt can still meet the
 * deadline. The caller deducts the hedge from its budget after the delay.
 *
 * @param remainingMs the remaining time for the stage when the first attempt starts
 */
fun hedgeDelayMsOrNull(
    idempotent: Boolean,
    durations: DurationSummary,
    remainingMs: Long,
): Long? {
    if (!idempotent || durations.count == 0L) return null
    val latestStartMs = remainingMs - HEDGE_MARGIN * durations.p95Ms
    val delayMs = maxOf(durations.p95Ms, latestStartMs).toLong().coerceAtLeast(MIN_HEDGE_DELAY_MS)
    return delayMs.takeIf { it + durations.medianMs <= remainingMs }
}

private const val MAX_ATTEMPTS = 3
private const val MIN_HEDGE_DELAY_MS = 5L

/** A hedge starts when this multiple of the 95th percentile remains; until then the first attempt will most likely answer in time. */
private const val HEDGE_MARGIN = 1.5
