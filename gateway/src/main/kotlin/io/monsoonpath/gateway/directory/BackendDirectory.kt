package io.monsoonpath.gateway.directory

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId

/**
 * The known backend servers and the failure domains that are out.
 *
 * Confined to the event loop.
 */
class BackendDirectory(
    private val log: DecisionLog,
) {
    private val byId = HashMap<BackendId, BackendServer>()
    private var byAddress: Map<Address, BackendServer> = emptyMap()
    private var byPool: Map<PoolId, List<BackendServer>> = emptyMap()
    private val domainsOut = HashSet<FailureDomain>()
    private val listeners = ArrayList<(BackendId) -> Unit>()

    /** All backend servers. */
    val servers: Collection<BackendServer> get() = byId.values

    /** Adds a [listener] that is called with the id of each backend server that changes: its entry, or the state of its failure domain. */
    fun onChange(listener: (BackendId) -> Unit) {
        listeners += listener
    }

    /** Returns the backend server [id], or null if it is unknown. */
    operator fun get(id: BackendId): BackendServer? = byId[id]

    /** Returns the backend server with the given [address], or null if there is none. */
    fun findByAddress(address: Address): BackendServer? = byAddress[address]

    /** Returns the backend servers of [pool] that may receive new requests, ordered by id. */
    fun usable(pool: PoolId): List<BackendServer> = byPool[pool] ?: emptyList()

    /** Returns whether the incarnation [server] is still known at the same address and may receive new requests. */
    fun isUsable(server: BackendServer): Boolean {
        val current = byId[server.id] ?: return false
        return current.startedAtUnixMs == server.startedAtUnixMs && current.address == server.address && acceptsWork(current)
    }

    /** Adds or replaces [server], which was read at [revision], and notifies the listeners if it has changed. */
    fun put(
        server: BackendServer,
        revision: Long,
    ) {
        val old = byId.put(server.id, server)
        if (old != null && old.copy(coldUntilMs = server.coldUntilMs) == server && old.coldUntilMs == server.coldUntilMs) return
        log.line(
            "backend.updated",
            "backend" to server.id,
            "pool" to server.pool,
            "address" to server.address,
            "domain" to server.failureDomain,
            "state" to server.state,
            "coldUntilMs" to server.coldUntilMs,
            "revision" to revision,
        )
        notifyChanged(server.id)
    }

    /** Removes the backend server [id] and logs the [reason]. */
    fun remove(
        id: BackendId,
        reason: String,
    ) {
        byId.remove(id) ?: return
        log.line("backend.removed", "backend" to id, "reason" to reason)
        notifyChanged(id)
    }

    /** Marks [domain] as out or as back in service, as read at [revision]. */
    fun setDomainOut(
        domain: FailureDomain,
        isOut: Boolean,
        revision: Long,
    ) {
        val isChange = if (isOut) domainsOut.add(domain) else domainsOut.remove(domain)
        if (!isChange) return
        log.line("domain.changed", "domain" to domain, "out" to isOut, "revision" to revision)
        reindex()
        byId.values.filter { it.failureDomain == domain }.forEach { server -> listeners.forEach { it(server.id) } }
    }

    private fun acceptsWork(server: BackendServer) = server.state == BackendState.READY && server.failureDomain !in domainsOut

    private fun notifyChanged(id: BackendId) {
        reindex()
        listeners.forEach { it(id) }
    }

    private fun reindex() {
        byAddress = byId.values.associateBy { it.address }
        byPool =
            byId.values
                .filter(::acceptsWork)
                .sortedBy { it.id }
                .groupBy { it.pool }
    }
}
