package io.monsoonpath.policy.batch

/**
 * Measures how fast a pool takes pieces while it always has a queue. Not thread-safe.
 *
 * Load pattern: a few large results fill the memory of the workers, or some workers are slow. The pool then takes far fewer pieces than its
 * slots allow, and a wait that is computed from full calls admits requests that cannot be on time.
 */
class PieceThroughput {
    private class Taken(
        val atMs: Long,
        val count: Int,
    )

    private val taken = ArrayDeque<Taken>()
    private var queuedSinceMs: Long? = null

    /** Records that [count] pieces were taken at [nowMs]. */
    fun recordTaken(
        count: Int,
        nowMs: Long,
    ) {
        taken.addLast(Taken(nowMs, count))
    }

    /** Records whether pieces are still queued at [nowMs], after all free workers have taken what they can. */
    fun recordQueue(
        isQueued: Boolean,
        nowMs: Long,
    ) {
        queuedSinceMs = if (isQueued) queuedSinceMs ?: nowMs else null
        while (taken.isNotEmpty() && nowMs - taken.first().atMs > WINDOW_MS) taken.removeFirst()
    }

    /** Returns the time in milliseconds that the pool takes for each piece, or null if it has had no queue for long enough. */
    fun msPerPiece(nowMs: Long): Double? {
        val sinceMs = maxOf(queuedSinceMs ?: return null, nowMs - WINDOW_MS)
        val count = taken.sumOf { if (it.atMs > sinceMs) it.count else 0 }
        return if (nowMs - sinceMs < MIN_WINDOW_MS || count == 0) null else (nowMs - sinceMs).toDouble() / count
    }

    private companion object {
        /** Includes about two calls of each worker. */
        const val WINDOW_MS = 1_000L

        /** About one call of each worker. */
        const val MIN_WINDOW_MS = 400L
    }
}
