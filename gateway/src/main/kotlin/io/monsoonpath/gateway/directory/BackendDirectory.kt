package io.monsoonpath.gateway.directory

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId

/**
 * The backend servers and the failure domains that are out, as last read.
 *
 * Used by the event loop alone.
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

    /** Calls [listener] with the id of each backend server that changes or goes. */
    fun onChange(listener: (BackendId) -> Unit) {
        listeners += listener
    }

    /** Returns the backend server called [id], or null. */
    operator fun get(id: BackendId): BackendServer? = byId[id]

    /** Returns the backend server at [address], or null. */
    fun findByAddress(address: Address): BackendServer? = byAddress[address]

    /** Returns the backend servers of [pool] that may be given new work. */
    fun usable(pool: PoolId): List<BackendServer> = byPool[pool] ?: emptyList()

    /** Returns whether [server] may still be given new work. */
    fun isUsable(server: BackendServer): Boolean {
        val current = byId[server.id] ?: return false
        return current.startedAtUnixMs == server.startedAtUnixMs && current.address == server.address && acceptsWork(current)
    }

    /** Takes in [server] as read at [revision]. */
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

    /** Forgets the backend server called [id] for [reason]. */
    fun remove(
        id: BackendId,
        reason: String,
    ) {
        byId.remove(id) ?: return
        log.line("backend.removed", "backend" to id, "reason" to reason)
        notifyChanged(id)
    }

    /** Marks [domain] as out, or as back, as read at [revision]. */
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

    /** Replaces the set of failure domains that are out. */
    fun setDomainsOut(
        domains: Set<FailureDomain>,
        revision: Long,
    ) {
        (domainsOut - domains).forEach { setDomainOut(it, false, revision) }
        domains.forEach { setDomainOut(it, true, revision) }
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
