package io.monsoonpath.model

/**
 * A monotonic clock of one process.
 *
 * Instances never compare the readings of different processes. Decisions take a reading as an argument instead of a clock.
 */
fun interface ClockMs {
    /** Returns the time since an arbitrary start of this process, in milliseconds; it never falls. */
    fun nowMs(): Long
}

/** Returns the clock of this process, which starts near zero. */
fun systemClockMs(): ClockMs {
    val startNs = System.nanoTime()
    return ClockMs { (System.nanoTime() - startNs) / NS_PER_MS }
}

private const val NS_PER_MS = 1_000_000L
