package io.monsoonpath.coordination.membership

/** The right to act of one process, and the epochs that its lapses divide. */
internal class Lease {
    /** When the right ends. */
    var untilMs = NEVER_MS
        private set

    /** When the right under the newest list ends, or the smallest value while there is none. */
    var acquireUntilMs = NEVER_MS
        private set

    /** When the right under the list before the newest ends: until then, what moved away with the newest list may be used. */
    var formerLeaseUntilMs = NEVER_MS
        private set

    /** Rises with each lapse. */
    var epoch = 0L
        private set
    private var isHeld = false

    /** Notes that the right ended before [nowMs], if so; [advancesEpoch] is false only where tests show why it must be. */
    fun checkExpiry(
        nowMs: Long,
        advancesEpoch: Boolean,
    ) {
        if (!isHeld || nowMs < untilMs) return
        isHeld = false
        if (advancesEpoch) epoch++
    }

    /** Ends the right to acquire, because a newer list came; the right to use goes on. */
    fun endAcquisition() {
        formerLeaseUntilMs = untilMs
        acquireUntilMs = NEVER_MS
    }

    /** Extends the right under the newest list to [newUntilMs]; returns whether it began. */
    fun renew(
        nowMs: Long,
        newUntilMs: Long,
    ): Boolean {
        if (newUntilMs <= nowMs || newUntilMs < untilMs) return false
        untilMs = newUntilMs
        acquireUntilMs = newUntilMs
        return !isHeld.also { isHeld = true }
    }
}

/** A time before all others, from which differences do not overflow. */
private const val NEVER_MS = Long.MIN_VALUE / 2
