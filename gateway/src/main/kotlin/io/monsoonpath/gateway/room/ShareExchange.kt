package io.monsoonpath.gateway.room

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.peer.PeerConnection
import io.monsoonpath.gateway.peer.PeerListener
import io.monsoonpath.gateway.peer.PeerMessage
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.room.CapacityShares
import io.monsoonpath.policy.room.PoolDemand

/**
 * The number of concurrent [requests] that this instance may run in a pool.
 *
 * @property owner the host that granted it [ageMs] ago, or null if it is an equal part
 * @property spread how far the shares of all instances exceed the capacity; 1.0 if they do not
 */
internal class Share(
    val requests: Int,
    val owner: String?,
    val ageMs: Long,
    val spread: Double,
)

/**
 * Exchanges demands and shares of pools with their owners. As the owner of a pool, splits its capacity among the instances.
 *
 * A share is valid until it expires; without one, an equal part of the known capacity applies.
 *
 * @param ownerOf returns the host that owns a pool
 * @param instances returns the number of instances that may have a demand
 * @param send sends a message to a host
 */
internal class ShareExchange(
    private val ownHost: String,
    private val ownerOf: (PoolId) -> String,
    private val instances: () -> Int,
    private val send: (String, PeerMessage) -> Unit,
    private val clock: ClockMs,
    private val log: DecisionLog,
) : PeerListener {
    private class Grant(
        val requests: Int,
        val owner: String,
        val spread: Double,
        val receivedAtMs: Long,
        val expiresAtMs: Long,
    )

    private class SentReport(
        val owner: String,
        val atMs: Long,
    )

    private class OwnedPool {
        val shares = CapacityShares()
        var loggedAtMs = Long.MIN_VALUE / 2
    }

    private val grants = HashMap<PoolId, Grant>()
    private val reportedTo = HashMap<PoolId, SentReport>()
    private val lastSources = HashMap<PoolId, String>()
    private val owned = HashMap<PoolId, OwnedPool>()

    /** Returns the capacity of a pool in concurrent requests, or null if this instance does not know it. */
    var capacityOf: (PoolId) -> Int? = { null }

    /** The owners that this instance expects shares from, because it has reported a demand to them recently. */
    fun ownersInUse(): Set<String> {
        val nowMs = clock.nowMs()
        return reportedTo.values.filter { nowMs - it.atMs < CapacityShares.SHARE_VALID_MS }.mapTo(HashSet()) { it.owner }
    }

    /** Whether this instance has a share of [pool] that has not expired. */
    fun hasGrant(pool: PoolId): Boolean = grants[pool]?.let { clock.nowMs() < it.expiresAtMs } == true

    /** Returns the share of this instance in [pool], whose capacity is [capacity] concurrent requests. */
    fun shareOf(
        pool: PoolId,
        capacity: Int,
    ): Share {
        val nowMs = clock.nowMs()
        val grant = grants[pool]
        if (grant != null && nowMs < grant.expiresAtMs) {
            return Share(grant.requests, grant.owner, nowMs - grant.receivedAtMs, grant.spread)
        }
        if (grants.remove(pool) != null) logSource(pool, EQUAL_SPLIT, nowMs - checkNotNull(grant).receivedAtMs)
        return Share(
            CapacityShares.equalShare(capacity, instances()),
            null,
            0,
            CapacityShares.spreadPercent(instances(), capacity) / PERCENT,
        )
    }

    /** Reports the [demand] of this instance for [pool] to the owner. */
    fun report(
        pool: PoolId,
        demand: PoolDemand,
    ) {
        val owner = ownerOf(pool)
        val message = PeerMessage.ReportDemand(pool.value, ownHost, demand.running, demand.waiting, demand.arrivals)
        if (owner == ownHost) return receive(message) { accept(it, ownHost) }
        reportedTo[pool] = SentReport(owner, clock.nowMs())
        send(owner, message)
    }

    override fun onMessage(
        from: PeerConnection,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.ReportDemand -> receive(message, from::send)
            is PeerMessage.GrantShare -> accept(message, from.host)
            else -> Unit
        }
    }

    override fun onDisconnect(connection: PeerConnection) = Unit

    /** Records the demand in [message] and replies with the share of its sender, unless the capacity of the pool is unknown here. */
    internal fun receive(
        message: PeerMessage.ReportDemand,
        reply: (PeerMessage.GrantShare) -> Unit,
    ) {
        val pool = PoolId(message.pool)
        val capacity = capacityOf(pool) ?: return
        val nowMs = clock.nowMs()
        val ownedPool = owned.getOrPut(pool) { OwnedPool() }
        ownedPool.shares.record(message.host, PoolDemand(message.running, message.waiting, message.arrivals), nowMs)
        val split = ownedPool.shares.split(capacity, instances(), nowMs)
        val share = split.shares[message.host] ?: return
        reply(PeerMessage.GrantShare(message.pool, share, CapacityShares.SHARE_VALID_MS, split.spreadPercent))
        if (nowMs - ownedPool.loggedAtMs < LOG_INTERVAL_MS) return
        ownedPool.loggedAtMs = nowMs
        log.line(
            "share.split",
            "pool" to pool,
            "capacity" to capacity,
            "instances" to split.shares.size,
            "granted" to split.shares.values.sum(),
            "spreadPercent" to split.spreadPercent,
        )
    }

    /** Applies a share that [from] has granted, if it is the owner of the pool. */
    internal fun accept(
        message: PeerMessage.GrantShare,
        from: String,
    ) {
        val pool = PoolId(message.pool)
        if (message.requests < 1 || message.validMs !in 1..MAX_VALID_MS || ownerOf(pool) != from) return
        val nowMs = clock.nowMs()
        val spread = message.spreadPercent.coerceIn(100, MAX_SPREAD_PERCENT) / PERCENT
        grants[pool] = Grant(message.requests, from, spread, nowMs, nowMs + message.validMs)
        logSource(pool, from, 0)
    }

    private fun logSource(
        pool: PoolId,
        source: String,
        ageMs: Long,
    ) {
        if (lastSources.put(pool, source) == source) return
        log.line("share.source", "pool" to pool, "from" to source, "lastShareAgeMs" to ageMs, "requests" to grants[pool]?.requests)
    }

    companion object {
        /** The time between two reports of a demand. */
        const val INTERVAL_MS = 250L
        private const val PERCENT = 100.0

        /** One start in the time of a hundred requests; a higher value would be a fault of the sender. */
        private const val MAX_SPREAD_PERCENT = 10_000
        private const val LOG_INTERVAL_MS = 1_000L
        private const val EQUAL_SPLIT = "equal split"

        /** A share that is valid for longer would be used long after its owner is gone. */
        private const val MAX_VALID_MS = 10_000L
    }
}
