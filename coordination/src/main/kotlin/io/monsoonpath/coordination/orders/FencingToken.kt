package io.monsoonpath.coordination.orders

/**
 * A fencing token. The tokens of the orders to one backend server increase, so that the server can reject an outdated order.
 *
 * @property revision the instance list under which the order was given
 * @property generation the number of the issuing process among those of its instance id under that list
 * @property counter the number of the order among those of the process
 */
data class FencingToken(
    val revision: Long,
    val generation: Int,
    val counter: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int =
        compareValuesBy(this, other, FencingToken::revision, FencingToken::generation, FencingToken::counter)

    /** Returns the token as 40 hexadecimal digits. The order of these texts is the order of the tokens. */
    override fun toString(): String = "%016x%08x%016x".format(revision, generation, counter)
}

/** The decision on an order to a backend server. */
sealed interface OrderDecision {
    /** The order may be sent with [fencingToken] before [sendUntilMs] on the own clock. An order in progress is sent again. */
    data class Issue(
        val fencingToken: FencingToken,
        val sendUntilMs: Long,
    ) : OrderDecision

    /** Another order to the same backend server is in progress, with [fencingToken]. */
    data class Wait(
        val fencingToken: FencingToken,
    ) : OrderDecision

    /** This process does not own the backend server, or its lease is too short to complete the order. */
    data object NotOwner : OrderDecision
}
