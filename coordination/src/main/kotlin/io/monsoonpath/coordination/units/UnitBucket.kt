package io.monsoonpath.coordination.units

import java.util.concurrent.atomic.AtomicReference

/**
 * A withdrawal from a bucket.
 *
 * @property amount the amount withdrawn
 * @property totalClipped by how much refills had reduced the bucket's refundable amount in total at that time
 */
internal class Withdrawal(
    val amount: Long,
    val totalClipped: Long,
)

/**
 * A lock-free token bucket that accepts refunds of unused amounts.
 *
 * A refund must not be added to a refill for which there was room only because the refunded amount had been withdrawn. Therefore the
 * bucket also records how much may still be refunded. The level and the refundable amount together never exceed the capacity: a refill
 * beyond it clips the refundable amount, and each refund of an earlier withdrawal is reduced by what was clipped since. No time window
 * then admits more than if the refunded amounts had never been withdrawn.
 *
 * Clock readings may arrive out of order: an older one refills nothing. A closed bucket stays empty.
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

    /** The time on the own clock from which the bucket may no longer be spent from. */
    @Volatile
    var usableUntilMs = Long.MAX_VALUE

    private val state = AtomicReference<State?>(State(limit, minOf(level, limit.capacity), 0, 0, createdMs))

    /** Returns the level at [nowMs], or zero if the bucket is closed. */
    fun level(nowMs: Long): Long = state.get()?.refilledAt(nowMs)?.level ?: 0

    /** Withdraws up to [wanted], or returns null if the bucket is empty, closed, or no longer usable at [nowMs]. */
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

    /**
     * Refunds [amount] of a withdrawal that was made at [totalClippedBefore], as far as it is still refundable.
     *
     * @param limitsRefund if false, the whole amount is refunded; only for tests
     */
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
     * Replaces the limit and keeps the level, cut to the new capacity.
     *
     * Over any sequence of limits, no time window admits more than the highest capacity and rate among them would.
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

    /** Closes the bucket permanently and returns its level at [nowMs]. */
    fun close(nowMs: Long): Long = state.getAndSet(null)?.refilledAt(nowMs)?.level ?: 0
}
