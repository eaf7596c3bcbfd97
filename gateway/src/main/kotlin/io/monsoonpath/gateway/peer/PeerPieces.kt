package io.monsoonpath.gateway.peer

import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** Counts the pieces without a final result that were received on each incoming connection. Must be used on the event loop only. */
internal class PeerPieces {
    /** The pieces of one request in one pool. */
    data class Key(
        val request: RequestId,
        val pool: PoolId,
    )

    private val counts = HashMap<PeerConnection, HashMap<Key, Int>>()

    /** Records a piece of [request] in [pool] that was received on [connection]. */
    fun add(
        connection: PeerConnection,
        request: RequestId,
        pool: PoolId,
    ) {
        counts.getOrPut(connection) { HashMap() }.merge(Key(request, pool), 1, Int::plus)
    }

    /** Records the final result of a piece of [request] in [pool] that was received on [connection]. */
    fun recordEnd(
        connection: PeerConnection,
        request: RequestId,
        pool: PoolId,
    ) {
        val pieces = counts[connection] ?: return
        pieces.computeIfPresent(Key(request, pool)) { _, count -> (count - 1).takeIf { it > 0 } }
        if (pieces.isEmpty()) counts.remove(connection)
    }

    /** Removes the pieces of [request] in [pools], on whichever connection they were received, because they were cancelled. */
    fun remove(
        request: RequestId,
        pools: Set<PoolId>,
    ) {
        val keys = pools.map { Key(request, it) }
        counts.values.forEach { it.keys.removeAll(keys.toSet()) }
        counts.values.removeIf { it.isEmpty() }
    }

    /** Removes all pieces that were received on [connection] and returns their number by request and pool. */
    fun removeAll(connection: PeerConnection): Map<Key, Int> = counts.remove(connection).orEmpty()

    /** Returns whether pieces of the request and pool of [key] were received on another connection as well. */
    fun contains(key: Key): Boolean = counts.values.any { key in it }
}
