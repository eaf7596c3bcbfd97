package io.monsoonpath.policy.batch

import io.monsoonpath.model.PoolId

/**
 * Distinguishes a sustained overload of a pool from a burst, by how long its wait has stayed long. Not thread-safe.
 *
 * Load pattern: for many seconds, work arrives faster than a pool completes it. The queue grows until admitted requests are just on
 * time, and stays at that length: each slow call then makes requests late, while a shorter queue would keep the workers as busy. The
 * queue of a burst drains earlier, so that its requests can use their whole target.
 */
class StandingQueueDetector {
    private class Wait(
        val sinceMs: Long,
        var seenAtMs: Long,
    )

    private val waits = HashMap<PoolId, Wait>()

    /** Records that a new piece of [pool] waits [waitMs] at [nowMs], and returns whether the pool has a standing queue. */
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
        /** Half the duration of a short call: a pool with a shorter wait is about to be free. */
        const val LONG_WAIT_MS = 200L

        /** The queue of a burst drains within one target, which is two seconds or more for chains of stages. */
        const val MIN_STANDING_MS = 2_000L

        /** The queue may have drained and grown again during a longer gap. */
        const val MAX_OBSERVATION_GAP_MS = 2_000L
    }
}
