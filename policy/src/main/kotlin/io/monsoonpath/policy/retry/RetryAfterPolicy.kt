package io.monsoonpath.policy.retry

/**
 * Tells refused callers when to come back.
 *
 * Load pattern: more arrives for some seconds than can be served, from callers that come back once or twice. Told the wait of the queue
 * alone, they return while the overload lasts, are refused again and have no return left. How long an overload lasts is not known, but
 * one that has lasted for a while is likely to last about as long again; so that time is added to the wait, and callers are spread over
 * half of it, so that they don't return together.
 */
class RetryAfterPolicy {
    private class Overload(
        val startedAtMs: Long,
        var lastRefusalAtMs: Long,
    )

    private val overloads = HashMap<String, Overload>()

    /**
     * Notes a refusal and returns after how many milliseconds its caller may come back.
     *
     * @param route requests of one route are refused for the same reasons
     * @param waitMs the wait that stood in its way, in milliseconds
     * @param seed spreads callers
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
        /** About the time of one batch, after which a place is likely to be free. */
        const val MIN_RETRY_AFTER_MS = 250L

        /** An overload is over when nothing has been refused for so long: the time of a few batches. */
        const val QUIET_PERIOD_MS = 1_000L

        /** A third of the longest deadlines, beyond which callers don't wait. */
        const val MAX_OVERLOAD_AGE_MS = 5_000L
    }
}
