package io.monsoonpath.coordination.units

import java.util.concurrent.atomic.AtomicReference

/** What was taken from a bucket: [amount], and [clipped], the bucket's loss of refundable amounts up to then. */
internal class Taken(
    val amount: Long,
    val clipped: Long,
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
        val clipped: Long,
        val atMs: Long,
    ) {
        fun at(nowMs: Long): State =
            if (nowMs <= atMs) this else State(limit, limit.refill(level, nowMs - atMs), refundable, clipped, nowMs).clip()

        fun take(amount: Long) = State(limit, level - amount, refundable + amount, clipped, atMs)

        fun refund(amount: Long) = State(limit, level + amount, refundable - amount, clipped, atMs)

        fun under(limit: UnitLimit) = State(limit, minOf(level, limit.capacity), refundable, clipped, atMs).clip()

        private fun clip(): State {
            val excess = level + refundable - limit.capacity
            return if (excess <= 0) this else State(limit, level, refundable - excess, clipped + excess, atMs)
        }
    }

    /** When the bucket may not be spent from any more, on the own clock. */
    @Volatile
    var untilMs = Long.MAX_VALUE

    private val state = AtomicReference<State?>(State(limit, minOf(level, limit.capacity), 0, 0, createdMs))

    /** Returns the level at [nowMs], or zero once closed. */
    fun level(nowMs: Long): Long = state.get()?.at(nowMs)?.level ?: 0

    /** Takes as much of [wanted] as there is, or returns null if there is nothing. */
    fun take(
        nowMs: Long,
        wanted: Long,
    ): Taken? {
        while (nowMs < untilMs) {
            val before = state.get() ?: return null
            val current = before.at(nowMs)
            val amount = minOf(current.level, wanted)
            if (amount <= 0) return null
            if (state.compareAndSet(before, current.take(amount))) return Taken(amount, current.clipped)
        }
        return null
    }

    /** Puts back [amount] of what was taken when [clippedBefore] had been lost, as far as it may still come back. */
    fun giveBack(
        nowMs: Long,
        amount: Long,
        clippedBefore: Long,
        isClipped: Boolean = true,
    ) {
        while (true) {
            val before = state.get() ?: return
            val current = before.at(nowMs)
            val allowed = minOf(amount - (current.clipped - clippedBefore), current.refundable)
            val returned = if (isClipped) allowed else amount
            if (returned <= 0 || state.compareAndSet(before, current.refund(returned))) return
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
            val before = state.get() ?: return
            if (before.limit == limit || state.compareAndSet(before, before.at(nowMs).under(limit))) return
        }
    }

    /** Closes the bucket for good and returns the level that it had at [nowMs]. */
    fun close(nowMs: Long): Long = state.getAndSet(null)?.at(nowMs)?.level ?: 0
}
