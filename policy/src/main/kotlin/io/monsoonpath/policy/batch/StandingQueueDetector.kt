package io.monsoonpath.policy.batch

import io.monsoonpath.model.PoolId

/**
 * Tells a lasting overload of a pool from a burst, by how long its wait has not gone away.
 *
 * Load pattern: for many seconds more arrives than a pool bears. Its queue then fills until what is let in is just on time, and stays
 * there: each slow call makes requests late, while a shorter queue would keep the workers as busy. A burst ends before its queue has
 * stood for long, and may use all the time that its requests have. Used by one thread alone.
 */
class StandingQueueDetector {
    private class Wait(
        val sinceMs: Long,
        var seenAtMs: Long,
    )

    private val waits = HashMap<PoolId, Wait>()

    /** Notes that a new piece of [pool] waits [waitMs] at [nowMs], and returns whether such waits have stood for long. */
    fun observe(
        pool: PoolId,
        waitMs: Long,
        nowMs: Long,
    ): Boolean {
        if (waitMs < LONG_WAIT_MS) {
            waits.remove(pool)
            return false
        }
        val known = waits[pool]?.takeIf { nowMs - it.seenAtMs <= MAX_OBSERVATION_GAP_MS }
        val wait = known ?: Wait(nowMs, nowMs).also { waits[pool] = it }
        wait.seenAtMs = nowMs
        return nowMs - wait.sinceMs >= MIN_STANDING_MS
    }

    private companion object {
        /** Half of a short call: a pool with less before it is about to be free. */
        const val LONG_WAIT_MS = 200L

        /** The queue of a burst that ends is worked off within a target, which is two seconds and more for chains of stages. */
        const val MIN_STANDING_MS = 2_000L

        /** Without a look at the wait for as long as it may take to work it off, it may have gone away in between. */
        const val MAX_OBSERVATION_GAP_MS = 2_000L
    }
}
