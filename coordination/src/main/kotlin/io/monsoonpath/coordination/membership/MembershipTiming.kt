package io.monsoonpath.coordination.membership

/**
 * Durations of membership, on the own clock of each process.
 *
 * @property leaseMs how long a right lasts after the question that it was vouched on
 * @property marginMs what a waiting process adds for clocks that run at different speeds and for answers on their way
 * @property takeoverMs how long to wait for members that neither answer nor stand in the list any more
 */
data class MembershipTiming(
    val leaseMs: Long = 3_000,
    val marginMs: Long = leaseMs / 20 + 200,
    val takeoverMs: Long = 60_000,
) {
    /** How long a right at another process may last after its end became inevitable. */
    val expiryWaitMs: Long get() = leaseMs + marginMs

    /** The age at which a right is renewed. */
    internal val renewAfterMs: Long get() = leaseMs / 3

    /** The shortest time between two questions to the same peer. */
    internal val retryMs: Long get() = (leaseMs / 20).coerceIn(50, 500)
}

/** The checks that safety rests on; tests switch single ones off to prove that the loss is noticed. */
internal data class Safeguards(
    val takeoverWait: Boolean = true,
    val recoverySilence: Boolean = true,
    val expiryDropsHoldings: Boolean = true,
    val commitLists: Boolean = true,
    val refundsClipped: Boolean = true,
    val handoverCloses: Boolean = true,
    val spendRechecked: Boolean = true,
)
