package io.monsoonpath.coordination.membership

/** The right to act of one process, and the epochs that its lapses divide. */
internal class Right {
    /** When the right ends. */
    var untilMs = Long.MIN_VALUE
        private set

    /** When the right under the newest list ends, or the smallest value while there is none. */
    var acquireUntilMs = Long.MIN_VALUE
        private set

    /** Rises with each lapse. */
    var epoch = 0L
        private set
    private var isHeld = false

    /** Notes that the right ended before [nowMs], if so; [isCounted] is false only where tests show why it must be. */
    fun noteLapse(
        nowMs: Long,
        isCounted: Boolean,
    ) {
        if (!isHeld || nowMs < untilMs) return
        isHeld = false
        if (isCounted) epoch++
    }

    /** Forgets the right to acquire, because a newer list came; the right to use goes on. */
    fun forgetAcquire() {
        acquireUntilMs = Long.MIN_VALUE
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
