package io.monsoonpath.coordination.orders

/**
 * A fencing number: orders to one backend server carry rising ones.
 *
 * @property revision the instance list under which the order was given
 * @property generation the number of the ordering process among those of its instance id under that list
 * @property counter the number of the order among those of the process
 */
data class FencingToken(
    val revision: Long,
    val generation: Int,
    val counter: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int =
        compareValuesBy(this, other, FencingToken::revision, FencingToken::generation, FencingToken::counter)

    /** Returns the number as one text of fixed width, whose order is the order of the numbers. */
    override fun toString(): String = "%016x%08x%016x".format(revision, generation, counter)
}

/** What may be done about an order. */
sealed interface OrderDecision {
    /** Send the order under [fencingToken] before [sendUntilMs] on the own clock; if the same order was issued already, repeat it. */
    data class Issue(
        val fencingToken: FencingToken,
        val sendUntilMs: Long,
    ) : OrderDecision

    /** Another order to the same server is under way. */
    data class Wait(
        val fencingToken: FencingToken,
    ) : OrderDecision

    /** This process has no right to give orders to the server, or not yet. */
    data object NotOwner : OrderDecision
}
