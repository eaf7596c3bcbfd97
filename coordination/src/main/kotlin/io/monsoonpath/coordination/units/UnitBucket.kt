package io.monsoonpath.coordination.units

import java.util.concurrent.atomic.AtomicReference

/** What was taken from a bucket: [amount], and [totalClipped], the bucket's loss of refundable amounts up to then. */
internal class Withdrawal(
    val amount: Long,
    val totalClipped: Long,
)

/**
 * A token bucket that many threads spend from without locks, and that takes back what was not used.
 *
 * A refund must not add to a refill that was possible only because the refunded amount was out. So the bucket keeps, beside its level, how
 * much may still come back: level and that sum never pass the capacity together, and what the refill takes from the sum is lost to each
 * refund of an earlier take. With that, no window admits more than if the refunded amounts had never been taken.
 *
 * Readings of the clock may come out of order: an older one refills nothing. Once closed, a bucket never gives anything again.
 */
internal class UnitBucket(
    limit: UnitLimit,
    level: Long,
    val createdMs: Long,
) {
    private class State(
        val limit: UnitLimit,
        val level: Long,
        val refundable: Long,
        val totalClipped: Long,
        val atMs: Long,
    ) {
        fun refilledAt(nowMs: Long): State =
            if (nowMs <= atMs) this else State(limit, limit.refill(level, nowMs - atMs), refundable, totalClipped, nowMs).clip()

        fun withdraw(amount: Long) = State(limit, level - amount, refundable + amount, totalClipped, atMs)

        fun refund(amount: Long) = State(limit, level + amount, refundable - amount, totalClipped, atMs)

        fun withLimit(limit: UnitLimit) = State(limit, minOf(level, limit.capacity), refundable, totalClipped, atMs).clip()

        private fun clip(): State {
            val excess = level + refundable - limit.capacity
            return if (excess <= 0) this else State(limit, level, refundable - excess, totalClipped + excess, atMs)
        }
    }

    /** When the bucket may not be spent from any more, on the own clock. */
    @Volatile
    var usableUntilMs = Long.MAX_VALUE

    private val state = AtomicReference<State?>(State(limit, minOf(level, limit.capacity), 0, 0, createdMs))

    /** Returns the level at [nowMs], or zero once closed. */
    fun level(nowMs: Long): Long = state.get()?.refilledAt(nowMs)?.level ?: 0

    /** Takes as much of [wanted] as there is, or returns null if there is nothing. */
    fun withdraw(
        nowMs: Long,
        wanted: Long,
    ): Withdrawal? {
        while (nowMs < usableUntilMs) {
            val previous = state.get() ?: return null
            val current = previous.refilledAt(nowMs)
            val amount = minOf(current.level, wanted)
            if (amount <= 0) return null
            if (state.compareAndSet(previous, current.withdraw(amount))) return Withdrawal(amount, current.totalClipped)
        }
        return null
    }

    /** Puts back [amount] of what was taken when [totalClippedBefore] had been lost, as far as it may still come back. */
    fun refund(
        nowMs: Long,
        amount: Long,
        totalClippedBefore: Long,
        limitsRefund: Boolean = true,
    ) {
        while (true) {
            val previous = state.get() ?: return
            val current = previous.refilledAt(nowMs)
            val allowed = minOf(amount - (current.totalClipped - totalClippedBefore), current.refundable)
            val returned = if (limitsRefund) allowed else amount
            if (returned <= 0 || state.compareAndSet(previous, current.refund(returned))) return
        }
    }

    /**
     * Replaces the limit; the level stays, cut to the new capacity.
     *
     * So whatever limits follow one another, no window admits more than the highest capacity and rate among them would.
     */
    fun changeLimit(
        nowMs: Long,
        limit: UnitLimit,
    ) {
        while (true) {
            val previous = state.get() ?: return
            if (previous.limit == limit || state.compareAndSet(previous, previous.refilledAt(nowMs).withLimit(limit))) return
        }
    }

    /** Closes the bucket for good and returns the level that it had at [nowMs]. */
    fun close(nowMs: Long): Long = state.getAndSet(null)?.refilledAt(nowMs)?.level ?: 0
}
