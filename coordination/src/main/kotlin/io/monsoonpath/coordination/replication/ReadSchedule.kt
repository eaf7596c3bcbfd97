package io.monsoonpath.coordination.replication

import kotlin.random.Random

/** Schedules platform reads of one kind of document: one read at a time, with exponential backoff after failures. */
internal class ReadSchedule(
    private val random: Random,
) {
    private var inFlightSinceMs: Long? = null
    private var nextMs = 0L
    private var failures = 0

    /** Returns whether a read may start. A pending read without a result for [LOST_AFTER_MS] counts as lost. */
    fun mayStart(nowMs: Long): Boolean = nowMs >= nextMs && inFlightSinceMs.let { it == null || nowMs - it > LOST_AFTER_MS }

    /** Records that a read started. */
    fun recordStart(nowMs: Long) {
        inFlightSinceMs = nowMs
    }

    /** Records a successful read. The next one may start [pauseMs] after the start of this one. */
    fun recordSuccess(pauseMs: Long) {
        nextMs = (inFlightSinceMs ?: 0L) + pauseMs
        inFlightSinceMs = null
        failures = 0
    }

    /** Records that the read failed or returned an old document. The pause doubles up to [MAX_PAUSE_MS], with jitter. */
    fun recordFailure(
        nowMs: Long,
        minPauseMs: Long,
    ) {
        inFlightSinceMs = null
        val pauseMs = maxOf(minPauseMs, (MIN_PAUSE_MS shl failures).coerceAtMost(MAX_PAUSE_MS))
        failures = (failures + 1).coerceAtMost(MAX_DOUBLINGS)
        nextMs = nowMs + pauseMs / 2 + random.nextLong(pauseMs)
    }

    /** Prevents reads from starting before [atMs]. */
    fun delayUntil(atMs: Long) {
        nextMs = maxOf(nextMs, atMs)
    }

    private companion object {
        const val LOST_AFTER_MS = 10_000L
        const val MIN_PAUSE_MS = 250L
        const val MAX_PAUSE_MS = 2_000L
        const val MAX_DOUBLINGS = 4
    }
}
