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
 * Runs the components that coordinate with other instances: configuration replication, membership, rate limits and claims.
 *
 * The coordinator drives the components with timer ticks, peer messages and results of platform reads, and executes the effects
 * that they return. All components run on one control loop; request processing only reads immutable snapshots of their state.
 *
 * @param isReachable whether messages to and from an instance are delivered; tests use it to simulate network partitions
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

    /** Applies the rate limits of workspaces across all instances. */
    val limiter: CoordinatedRateLimiter =
        CoordinatedRateLimiter(limits, clock, settings.timing.peerTimeoutMs) { operation -> loop.post { executeEffects(operation()) } }

    /** Claims request ids across all instances. */
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

    /** The state of document replication. */
    val replicationStatus: ReplicationStatus get() = replicator.status

    /** The current snapshot of the membership and of the lease of this process. */
    val membershipSnapshot: MembershipSnapshot get() = membership.snapshot

    /** The counters of the messages that the peer transport has sent, received and dropped. */
    val counters: PeerCounters get() = transport.counters

    /** The port on which this instance accepts connections of peers. */
    val peerPort: Int get() = transport.port

    /** Returns whether this process holds a valid lease and may use the resources that the membership assigns to it. */
    fun isServing(): Boolean = membershipSnapshot.mayAct(clock.nowMs()) && membershipSnapshot.takeoverSinceMs() != null

    /** Returns the current time in milliseconds on the clock of this process. */
    fun nowMs(): Long = clock.nowMs()

    /** Starts the peer transport and the periodic tasks, which read from the platform and send messages to peers. */
    fun start() {
        transport.start()
        loop.scheduleWithFixedDelay(TICK_MS) { tick() }
        loop.scheduleWithFixedDelay(LIMIT_TICK_MS) { executeEffects(limits.onTick(clock.nowMs())) }
    }

    /** Blocks the control loop until the returned handle is closed; tests use it to simulate a paused process. */
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

    /** Delivers a new membership snapshot to the rate limits and the claims before they handle any other input. */
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
                // The coordinator does not run the permit component yet.
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

/** Returns the claim timing in which a granted claim must be used within a quarter of its time-to-live, and within 5 seconds. */
private fun claimTiming(ttlMs: Long) = ClaimTiming(ttlMs, useWithinMs = minOf(MAX_CLAIM_USE_MS, ttlMs / CLAIM_USE_PART))

private const val MAX_CLAIM_USE_MS = 5_000L
private const val CLAIM_USE_PART = 4
