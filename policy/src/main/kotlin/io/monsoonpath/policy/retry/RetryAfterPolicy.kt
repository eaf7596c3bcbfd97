package io.monsoonpath.policy.retry

/**
 * Computes the delay after which a refused caller should retry.
 *
 * In a typical overload, more requests arrive for some seconds than can be served, and callers retry only once or twice. If the delay
 * were only the current queue wait, they would retry during the overload, be refused again and have no retry left. An overload that
 * has lasted for some time is likely to last about as long again, so its age is added to the wait. Jitter of up to half the delay keeps
 * callers from retrying at the same time.
 */
class RetryAfterPolicy {
    private class Overload(
        val startedAtMs: Long,
        var lastRefusalAtMs: Long,
    )

    private val overloads = HashMap<String, Overload>()

    /**
     * Records a refusal and returns the delay in milliseconds after which its caller should retry.
     *
     * @param route the route of the request; overloads are tracked by route, because its requests are refused for the same reasons
     * @param waitMs the wait in milliseconds that led to the refusal
     * @param seed determines the jitter
     */
    fun recordRefusal(
        route: String,
        waitMs: Long,
        nowMs: Long,
        seed: Int,
    ): Long {
        val baseMs = MIN_RETRY_AFTER_MS + waitMs + overloadAgeMs(route, nowMs)
        return baseMs + Math.floorMod(seed, (baseMs / 2).toInt() + 1)
    }

    private fun overloadAgeMs(
        route: String,
        nowMs: Long,
    ): Long {
        overloads.values.removeIf { nowMs - it.lastRefusalAtMs > QUIET_PERIOD_MS }
        val overload = overloads.getOrPut(route) { Overload(nowMs, nowMs) }
        overload.lastRefusalAtMs = nowMs
        return (nowMs - overload.startedAtMs).coerceAtMost(MAX_OVERLOAD_AGE_MS)
    }

    private companion object {
        /** About the duration of one batch, after which a slot is likely to be free. */
        const val MIN_RETRY_AFTER_MS = 250L

        /** An overload ends when nothing was refused for this long, the duration of a few batches. */
        const val QUIET_PERIOD_MS = 1_000L

        /** A third of the longest deadlines; callers do not wait longer than that. */
        const val MAX_OVERLOAD_AGE_MS = 5_000L
    }
}
