package io.monsoonpath.gateway.choice

import io.monsoonpath.coordination.gossip.rendezvousRank
import io.monsoonpath.model.BackendId

/**
 * Bounds the requests that this instance sends to a cold backend server, so that the sum over all instances keeps to what it bears.
 *
 * Nothing is exchanged for it. In a small fleet each instance has the same share of the bound, whatever it knows of the others, so split
 * views can't add up to more. In a fleet with more instances than the bound has requests, the first few of a ranking that all agree on
 * may send one request a second each. An instance that does not know the fleet yet sends none.
 *
 * @param fleetView what this instance knows of the fleet, or null if it has just started
 */
class ColdStartLimiter(
    private val fleetView: () -> FleetView?,
) {
    private val sentAtMs = HashMap<BackendId, ArrayDeque<Long>>()

    /** Returns whether a request may go to [server] at [nowMs] where all instances may send [maxPerSecond] in any second. */
    fun maySend(
        server: BackendId,
        maxPerSecond: Double,
        nowMs: Long,
    ): Boolean {
        val view = fleetView() ?: return false
        val ownLimit = (maxPerSecond / view.maxMembers).toInt()
        val sent = sentAtMs[server] ?: ArrayDeque()
        while (sent.isNotEmpty() && sent.first() <= nowMs - WINDOW_MS) sent.removeFirst()
        if (ownLimit >= 1) return sent.size < ownLimit
        val senderCount = (maxPerSecond * SENDER_FRACTION).toInt()
        return sent.isEmpty() && rendezvousRank("cold:${server.value}", view.ownHost, view.hosts) < senderCount
    }

    /** Notes a request sent to [server]. */
    fun recordRequest(
        server: BackendId,
        nowMs: Long,
    ) {
        sentAtMs.getOrPut(server) { ArrayDeque() }.addLast(nowMs)
    }

    /** Forgets a backend server that is gone. */
    fun remove(server: BackendId) {
        sentAtMs.remove(server)
    }

    private companion object {
        /** The bound holds in any second; the rest covers requests that arrive closer together than they were sent. */
        const val WINDOW_MS = 1_100L

        /** While members come and go, as many again may think that they are among the first. */
        const val SENDER_FRACTION = 0.5
    }
}
