package io.monsoonpath.policy.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * A budget of extra attempts as a share of first attempts, so that overload is never amplified.
 *
 * Without a reserve it starts empty: over any stretch from the start, the extra attempts are at most the share of the first
 * attempts. What is not used is kept up to [maxSaved] attempts. Usable from several threads.
 *
 * @param sharePermille the extra attempts allowed for a thousand first attempts
 * @param reserve the extra attempts that are there at the start, before any first attempt
 * @param maxSaved the most extra attempts that are kept for later
 */
class AttemptBudget(
    private val sharePermille: Long,
    reserve: Int = 0,
    private val maxSaved: Long = MAX_SAVED,
) {
    private val balanceMilli = AtomicLong(reserve * MILLI)

    init {
        require(sharePermille in 0..MILLI) { "sharePermille must lie from 0 to $MILLI: $sharePermille" }
    }

    /** Whether an extra attempt is there. */
    val hasRemaining: Boolean get() = balanceMilli.get() >= MILLI

    /** Notes a first attempt. */
    fun recordFirstAttempt() {
        balanceMilli.updateAndGet { minOf(it + sharePermille, maxSaved * MILLI) }
    }

    /** Takes one extra attempt from the budget; returns whether it was there. */
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

/** Returns the budget of retries: at most 10 in 100 first attempts, and [reserve] more. */
fun retryBudget(reserve: Int = 0): AttemptBudget = AttemptBudget(sharePermille = 100, reserve)

/** Returns the budget of hedges: at most 5 in 100 first attempts. */
fun hedgeBudget(): AttemptBudget = AttemptBudget(sharePermille = 50)
