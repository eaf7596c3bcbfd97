package io.monsoonpath.coordination.membership

/**
 * Durations of membership, in milliseconds on the clock of each process.
 *
 * @property leaseMs how long a lease lasts after the query that granted or renewed it
 * @property marginMs the margin that a waiting process adds for clocks that run at different speeds and for answers in transit
 * @property takeoverMs how long to wait for members that don't answer and are no longer in the list
 */
data class MembershipTiming(
    val leaseMs: Long = 3_000,
    val marginMs: Long = leaseMs / 20 + 200,
    val takeoverMs: Long = 60_000,
) {
    /** The time after which the lease of another process has certainly expired if it can no longer be renewed. */
    val expiryWaitMs: Long get() = leaseMs + marginMs

    /** The age at which a lease is renewed. */
    internal val renewAfterMs: Long get() = leaseMs / 3

    /** The minimum interval between two queries to the same peer. */
    internal val retryMs: Long get() = (leaseMs / 20).coerceIn(50, 500)
}

/** Checks required for safety; tests disable one at a time to verify that they detect its absence. */
internal data class Safeguards(
    val takeoverWait: Boolean = true,
    val recoverySilence: Boolean = true,
    val expiryDropsHoldings: Boolean = true,
    val commitLists: Boolean = true,
    val refundsClipped: Boolean = true,
    val handoverCloses: Boolean = true,
    val spendRechecked: Boolean = true,
)
