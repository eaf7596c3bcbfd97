package io.monsoonpath.model

/**
 * The monotonic clock of one process.
 *
 * Readings of different processes are never compared. Decision functions take the current time as an argument instead of a clock.
 */
fun interface ClockMs {
    /** Returns the time in milliseconds since an arbitrary origin in this process; it never decreases. */
    fun nowMs(): Long
}

/** Returns a clock for this process that starts near zero. */
fun systemClockMs(): ClockMs {
    val startNs = System.nanoTime()
    return ClockMs { (System.nanoTime() - startNs) / NS_PER_MS }
}

private const val NS_PER_MS = 1_000_000L
