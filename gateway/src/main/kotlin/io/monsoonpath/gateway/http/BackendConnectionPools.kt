package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.netty.channel.EventLoop

/** Holds the connection pools of all backend servers. Must be used on the event loop only. */
class BackendConnectionPools(
    private val loop: EventLoop,
    private val clock: ClockMs,
    private val limitsOf: (BackendServer) -> ConnectionPoolLimits,
    private val counters: ConnectionCounters,
    private val log: DecisionLog,
) {
    private val pools = HashMap<BackendId, Entry>()

    /** Returns the connection pool of [server]; a new incarnation or address gets a new pool. */
    fun poolFor(server: BackendServer): ServerConnectionPool {
        val entry = pools[server.id]
        if (entry != null && entry.isFor(server)) return entry.pool.also { it.setLimits(limitsOf(server)) }
        entry?.pool?.close()
        val pool = ServerConnectionPool(loop, clock, server.address, limitsOf(server), counters, log)
        pools[server.id] = Entry(server.startedAtUnixMs, pool)
        return pool
    }

    /** Returns whether a connection to the incarnation [server] is open. */
    fun isConnected(server: BackendServer): Boolean = pools[server.id]?.let { it.isFor(server) && it.pool.isConnected } ?: false

    /** Closes idle connections that the backend servers may soon close. */
    fun closeExpired() = pools.values.forEach { it.pool.closeExpired() }

    /** Closes all idle connections. */
    fun closeIdle() = pools.values.forEach { it.pool.closeIdle() }

    /** Removes and closes the connection pool of the backend server [id]. */
    fun remove(id: BackendId) {
        pools.remove(id)?.pool?.close()
    }

    private class Entry(
        val startedAtUnixMs: Long,
        val pool: ServerConnectionPool,
    ) {
        fun isFor(server: BackendServer) = startedAtUnixMs == server.startedAtUnixMs && pool.address == server.address
    }
}
