package io.monsoonpath.policy.retry

import io.monsoonpath.policy.deadline.DurationSummary

/** How an attempt failed. */
enum class AttemptFailure {
    /** No byte of the call can have reached the backend server. */
    NOT_SENT,

    /** The connection was lost or the answer was unusable after the send. */
    LOST,

    /** The backend server answered that it is too busy, without running the call. */
    REJECTED,

    /** No answer came within the budget of the stage. */
    TIMED_OUT,
}

/** Whether a failed call is tried again. */
sealed interface RetryDecision {
    /** Another attempt is allowed, on another backend server. */
    data object Retry : RetryDecision

    /**
     * The call is not tried again.
     *
     * @property mayHaveRun whether a failed attempt may have run
     */
    data class GiveUp(
        val reason: GiveUpReason,
        val mayHaveRun: Boolean,
    ) : RetryDecision
}

/** Why a failed call is not tried again. */
enum class GiveUpReason { NOT_IDEMPOTENT, TOO_MANY_ATTEMPTS, NO_TIME, BUDGET_USED_UP }

/**
 * A failed attempt.
 *
 * @property idempotent whether the stage may run twice
 * @property attempts the attempts of this stage so far
 * @property remainingMs the time left for this stage
 * @property neededMs the time that the stage usually takes
 */
data class FailedAttempt(
    val failure: AttemptFailure,
    val idempotent: Boolean,
    val attempts: Int,
    val remainingMs: Long,
    val neededMs: Double,
)

/** Decides whether [failed] is tried again, and takes the attempt from [budget] if so. */
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
 * Returns the time after which a second attempt of a call may start beside the first, or null if it never may.
 *
 * Only the slowest calls are hedged, as late as a second attempt can still end in time: a hedge doubles the work of its call. The
 * budget is taken when that time has come.
 *
 * @param remainingMs the time left for the stage when the first attempt starts
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

/** A hedge waits until this many 95th percentiles are left: before, the first attempt will most likely answer in time. */
private const val HEDGE_MARGIN = 1.5
