package io.monsoonpath.app.control

import io.monsoonpath.app.config.ConfigurationStore
import io.monsoonpath.app.peer.PeerCounters
import io.monsoonpath.app.peer.PeerSecrets
import io.monsoonpath.app.peer.PeerTransport
import io.monsoonpath.app.platform.PlatformClient
import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.claims.ClaimTiming
import io.monsoonpath.coordination.claims.Claims
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.replication.DocumentReplicator
import io.monsoonpath.coordination.replication.PublishedDocument
import io.monsoonpath.coordination.replication.ReplicationEffect
import io.monsoonpath.coordination.replication.ReplicationStatus
import io.monsoonpath.coordination.units.RateLimits
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.Settings

/**
 * Runs the decisions that instances take together: drives them with ticks, messages and reads of the platform, and carries out what
 * they ask for. All of them run in one loop; what the path of a request reads are snapshots.
 *
 * @param isReachable whether messages to and from an instance pass; tests cut links with it
 */
internal class Coordinator(
    self: PeerId,
    settings: Settings,
    secrets: PeerSecrets,
    private val clock: ClockMs,
    private val events: EventSink,
    private val configurations: ConfigurationStore,
    isReachable: (InstanceId) -> Boolean = { true },
) : AutoCloseable {
    private val loop = ControlLoop("control")
    private val platform = PlatformClient(settings.platformUrl)
    private val replicator = DocumentReplicator(self, settings.region, settings.failureDomain, clock.nowMs(), self.incarnation.value)
    private val membershipTiming = MembershipTiming(settings.timing.rightMs, takeoverMs = settings.timing.takeoverMs)
    private val membership = Membership(self, settings.region, membershipTiming, clock.nowMs())
    private val claims = Claims(self, claimTiming(settings.timing.claimTtlMs), membershipTiming, clock.nowMs())

    private val limits = RateLimits(self, settings.region, settings.timing.peerTimeoutMs)
    private var deliveredSnapshot: MembershipSnapshot? = null

    /** Limits workspaces over all instances. */
    val limiter: CoordinatedRateLimiter =
        CoordinatedRateLimiter(limits, clock, settings.timing.peerTimeoutMs) { operation -> loop.post { executeEffects(operation()) } }

    /** Claims request ids over all instances. */
    val claimSource: CoordinatedClaimSource =
        CoordinatedClaimSource(claims, settings.timing, clock, {
            membershipSnapshot.mayAct(it)
        }) { operation -> loop.post { executeEffects(operation()) } }

    @Volatile
    private var addresses = emptyMap<InstanceId, Endpoint>()
    private val transport =
        PeerTransport(
            self,
            settings.peer,
            secrets,
            events,
            { addresses[it] },
            { from, message -> loop.post { handleMessage(from, message) } },
            isReachable,
        )

    /** The state of the replicator of documents. */
    val replicationStatus: ReplicationStatus get() = replicator.status

    /** What is known of this process's place among the instances. */
    val membershipSnapshot: MembershipSnapshot get() = membership.snapshot

    /** What the transport has carried and dropped. */
    val counters: PeerCounters get() = transport.counters

    /** The port on which peers connect. */
    val peerPort: Int get() = transport.port

    /** Returns whether this process holds its right and may use what is homed here. */
    fun isServing(): Boolean = membershipSnapshot.mayAct(clock.nowMs()) && membershipSnapshot.takeoverSinceMs() != null

    /** Returns the time on the process's own clock. */
    fun nowMs(): Long = clock.nowMs()

    /** Starts to listen, to read the platform and to talk to peers. */
    fun start() {
        transport.start()
        loop.scheduleWithFixedDelay(TICK_MS) { tick() }
        loop.scheduleWithFixedDelay(LIMIT_TICK_MS) { executeEffects(limits.onTick(clock.nowMs())) }
    }

    /** Stops the loop until the returned handle is closed; tests pause a process with it. */
    fun pause(): AutoCloseable = loop.pause()

    override fun close() {
        loop.close()
        platform.close()
        transport.close()
    }

    private fun tick() {
        executeReplicationEffects(replicator.onTick(clock.nowMs()))
        executeEffects(membership.onTick(clock.nowMs()))
        deliverMembershipChange()
        executeEffects(claims.onTick(clock.nowMs()))
    }

    private fun handleMessage(
        from: PeerId,
        message: PeerMessage,
    ) {
        executeReplicationEffects(replicator.onMessage(clock.nowMs(), from, message))
        executeEffects(membership.onMessage(clock.nowMs(), from, message))
        deliverMembershipChange()
        executeEffects(limits.onMessage(clock.nowMs(), from, message))
        executeEffects(claims.onMessage(clock.nowMs(), from, message))
    }

    /** Tells the other decisions a new standing, before anything else happens under it. */
    private fun deliverMembershipChange() {
        val snapshot = membership.snapshot
        if (snapshot === deliveredSnapshot) return
        deliveredSnapshot = snapshot
        executeEffects(limits.onStanding(clock.nowMs(), snapshot))
        executeEffects(claims.onStanding(clock.nowMs(), snapshot))
    }

    private fun executeEffects(effects: List<Effect>) =
        effects.forEach { effect ->
            when (effect) {
                is Effect.Send -> transport.send(effect.to, effect.message)
                is Effect.Emit -> events.emit(effect.event)
                is Effect.LimitDecided -> limiter.onDecided(effect.query, effect.decision)
                is Effect.ClaimDecided -> claimSource.onDecided(effect.token, effect.outcome)
                // Permits are not driven yet.
                is Effect.PermitDecided -> Unit
            }
        }

    private fun executeReplicationEffects(effects: List<ReplicationEffect>) =
        effects.forEach { effect ->
            when (effect) {
                is ReplicationEffect.Send -> transport.send(effect.to, effect.message)
                is ReplicationEffect.Read -> read(effect)
                is ReplicationEffect.Adopt -> adopt(effect)
                is ReplicationEffect.Reject -> configurations.reject(effect.kind.valueName, effect.problems)
            }
        }

    private fun read(read: ReplicationEffect.Read) {
        val sentMs = clock.nowMs()
        platform.read(read.kind, read.after, read.waitMs).thenAccept { result ->
            loop.post { executeReplicationEffects(replicator.onRead(clock.nowMs(), sentMs, read.kind, result)) }
        }
    }

    private fun adopt(adopted: ReplicationEffect.Adopt) {
        when (val document = adopted.document) {
            is PublishedDocument.OfConfiguration -> {
                limits.onConfiguration(clock.nowMs(), document.configuration)
                configurations.adopt(document.configuration, adopted.source)
            }
            is PublishedDocument.OfInstances -> adopt(document.list, adopted.source)
        }
    }

    private fun adopt(
        list: InstanceList,
        source: String,
    ) {
        addresses = list.members.associate { it.id to it.peer }
        executeEffects(membership.onList(clock.nowMs(), list, source))
        deliverMembershipChange()
    }

    private companion object {
        const val TICK_MS = 50L
        const val LIMIT_TICK_MS = 10L
    }
}

/** A granted claim is used within a quarter of its time-to-live, and within seconds. */
private fun claimTiming(ttlMs: Long) = ClaimTiming(ttlMs, useWithinMs = minOf(MAX_CLAIM_USE_MS, ttlMs / CLAIM_USE_PART))

private const val MAX_CLAIM_USE_MS = 5_000L
private const val CLAIM_USE_PART = 4
