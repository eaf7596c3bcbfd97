package io.monsoonpath.coordination.membership

/** The lease of this process: the right to use its resources until a point in time, with an epoch that counts its expiries. */
internal class Lease {
    /** When the lease ends. */
    var untilMs = NEVER_MS
        private set

    /** When the lease under the current list ends, or [NEVER_MS] if there is none. */
    var acquireUntilMs = NEVER_MS
        private set

    /** When the lease under the previous list ends; until then, resources that the current list assigns to other homes may be used. */
    var formerLeaseUntilMs = NEVER_MS
        private set

    /** The number of expiries so far. */
    var epoch = 0L
        private set
    private var isHeld = false

    /** Records whether the lease has expired at [nowMs]; [advancesEpoch] is false only in tests that disable this safeguard. */
    fun checkExpiry(
        nowMs: Long,
        advancesEpoch: Boolean,
    ) {
        if (!isHeld || nowMs < untilMs) return
        isHeld = false
        if (advancesEpoch) epoch++
    }

    /** Ends the right to acquire resources, because a newer list was received; resources already held stay usable until the lease ends. */
    fun endAcquisition() {
        formerLeaseUntilMs = untilMs
        acquireUntilMs = NEVER_MS
    }

    /** Extends the lease under the current list to [newUntilMs]; returns whether no lease was held before. */
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

/** A time before all others; differences to it don't overflow. */
private const val NEVER_MS = Long.MIN_VALUE / 2
