package io.monsoonpath.gateway.choice

import io.monsoonpath.coordination.gossip.rendezvousRank
import io.monsoonpath.model.BackendId

/**
 * Limits the requests that this instance sends to a cold backend server, so that all instances together stay within the server's limit.
 *
 * The instances exchange no messages for this. In a small fleet, each instance has an equal share of the limit whichever members it
 * knows, so instances with different views do not exceed the limit together. If there are more instances than requests allowed per
 * second, all instances compute the same rendezvous ranking, and the first few may send one request per second each. An instance that
 * does not know the fleet yet sends none.
 *
 * @param fleetView returns the current view of the fleet, or null if this instance does not know the fleet yet
 */
class ColdStartLimiter(
    private val fleetView: () -> FleetView?,
) {
    private val sentAtMs = HashMap<BackendId, ArrayDeque<Long>>()

    /** Returns whether this instance may send a request to [server] at [nowMs] if all instances may send [maxPerSecond] in any second. */
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

    /** Records a request sent to [server]. */
    fun recordRequest(
        server: BackendId,
        nowMs: Long,
    ) {
        sentAtMs.getOrPut(server) { ArrayDeque() }.addLast(nowMs)
    }

    /** Removes the records of [server], which has left the directory. */
    fun remove(server: BackendId) {
        sentAtMs.remove(server)
    }

    private companion object {
        /** The limit applies to any second; the additional 100 ms cover requests that arrive closer together than they were sent. */
        const val WINDOW_MS = 1_100L

        /** While members join and leave, up to as many other instances may rank themselves among the first senders. */
        const val SENDER_FRACTION = 0.5
    }
}
