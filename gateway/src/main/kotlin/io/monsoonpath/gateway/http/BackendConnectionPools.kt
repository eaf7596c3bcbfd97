package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.netty.channel.EventLoop

/** The connections to all backend servers. Used by the event loop alone. */
class BackendConnectionPools(
    private val loop: EventLoop,
    private val clock: ClockMs,
    private val limitsOf: (BackendServer) -> ConnectionPoolLimits,
    private val counters: ConnectionCounters,
    private val log: DecisionLog,
) {
    private val pools = HashMap<BackendId, Entry>()

    /** Returns the link to [server]; a new incarnation or address gets a new one. */
    fun poolFor(server: BackendServer): ServerConnectionPool {
        val entry = pools[server.id]
        if (entry != null && entry.isFor(server)) return entry.pool.also { it.setLimits(limitsOf(server)) }
        entry?.pool?.close()
        val pool = ServerConnectionPool(loop, clock, server.address, limitsOf(server), counters, log)
        pools[server.id] = Entry(server.startedAtUnixMs, pool)
        return pool
    }

    /** Closes idle connections that the servers may close soon. */
    fun closeExpired() = pools.values.forEach { it.pool.closeExpired() }

    /** Closes every idle connection. */
    fun closeIdle() = pools.values.forEach { it.pool.closeIdle() }

    /** Closes the link to a backend server that is gone. */
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
