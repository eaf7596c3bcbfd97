package io.monsoonpath.policy.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * A budget that limits extra attempts to a share of the first attempts, so that retries and hedges do not amplify an overload.
 *
 * Without a reserve the budget starts empty: at any time, the extra attempts so far are at most the share of the first attempts so far.
 * Unused budget accumulates up to [maxSaved] attempts. Thread-safe.
 *
 * @param sharePermille the extra attempts allowed per 1000 first attempts, from 0 to 1000
 * @param reserve the extra attempts available at the start, before any first attempt
 * @param maxSaved the maximum number of accumulated extra attempts
 */
class AttemptBudget(
    private val sharePermille: Long,
    reserve: Int = 0,
    private val maxSaved: Long = MAX_SAVED,
) {
    private val balanceMilli = AtomicLong(reserve * MILLI)

    init {
        require(sharePermille in 0..MILLI) { "sharePermille must be between 0 and $MILLI: $sharePermille" }
    }

    /** Whether the budget allows an extra attempt. */
    val hasRemaining: Boolean get() = balanceMilli.get() >= MILLI

    /** Records a first attempt, which adds its share to the budget. */
    fun recordFirstAttempt() {
        balanceMilli.updateAndGet { minOf(it + sharePermille, maxSaved * MILLI) }
    }

    /** Deducts one extra attempt and returns true, or returns false if the budget is used up. */
    fun tryAcquire(): Boolean {
        while (true) {
            val current = balanceMilli.get()
            if (current < MILLI) return false
            if (balanceMilli.compareAndSet(current, current - MILLI)) return true
        }
    }

    private companion object {
        const val MILLI = 1_000L
        const val MAX_SAVED = 100L
    }
}

/** Returns a budget of 10 retries per 100 first attempts, plus [reserve] retries. */
fun retryBudget(reserve: Int = 0): AttemptBudget = AttemptBudget(sharePermille = 100, reserve)

/** Returns a budget of 5 hedges per 100 first attempts. */
fun hedgeBudget(): AttemptBudget = AttemptBudget(sharePermille = 50)
