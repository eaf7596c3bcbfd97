package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.Gossip
import io.monsoonpath.coordination.gossip.GossipCodec
import io.monsoonpath.coordination.gossip.GossipMessage
import io.monsoonpath.coordination.gossip.GossipTiming
import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.gossip.rendezvousOwner
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress
import kotlin.random.Random

/** Knows the other instances: gossip over UDP. Used by the event loop alone. */
class Membership(
    private val loop: EventLoop,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val localAddress: Address,
    seeds: List<String>,
    incarnation: Long,
    private val log: DecisionLog,
    random: Random,
) {
    private val timing = GossipTiming()
    private val gossip = Gossip(localAddress.host, incarnation, seeds, timing, random)
    private val listeners = ArrayList<() -> Unit>()
    private var channel: Channel? = null

    /** The members that are alive, this one included. */
    var liveMembers: List<MemberDigest> = gossip.liveMembers(clock.nowMs())
        private set

    /** The hosts of live members that take on duties. */
    var eligibleHosts: List<String> = listOf(localAddress.host)
        private set

    private var eligibleHostsChangedAtMs = clock.nowMs()
    private val hasOtherSeeds = seeds.any { it != localAddress.host }
    private var joiningSinceMs = clock.nowMs()

    /** Whether there was time to hear of all members since the start, or since a pause of the process. */
    val isJoined: Boolean get() = !hasOtherSeeds || clock.nowMs() - joiningSinceMs > JOIN_DURATION_MS

    /** Whether this instance takes on duties and nobody else still works on what was a duty of another. */
    val isOwnershipStable: Boolean get() =
        localAddress.host in eligibleHosts &&
            clock.nowMs() - eligibleHostsChangedAtMs > OWNERSHIP_STABLE_AFTER_MS

    /** The most members that may be alive. */
    val knownCount: Int get() = gossip.knownCount()

    /** Calls [listener] after each change of the live members. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Returns the host that has the duty called [duty]. */
    fun ownerOf(key: String): String = rendezvousOwner(key, eligibleHosts) ?: localAddress.host

    /** Begins to gossip. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(DatagramHandler())
                .bind(localAddress.host, localAddress.port)
                .sync()
                .channel()
        scheduler.scheduleRepeatedly(timing.intervalMs, ::runRound)
    }

    /** Says that this instance ends soon. */
    fun announceLeaving() = gossip.announce(isLeaving = true)

    /** Says which revision of each topic of shared documents this instance knows. */
    fun announceDocuments(revisions: List<Long>) = gossip.announce(documentRevisions = revisions)

    /** Forgets the others, as after a pause of the process; they are heard again within a round. */
    fun rejoin() {
        joiningSinceMs = clock.nowMs()
        gossip.forgetAll()
    }

    private fun runRound() {
        val nowMs = clock.nowMs()
        val targets = gossip.startRound(nowMs)
        targets.takeIf { it.isNotEmpty() }?.let { send(it, gossip.roundMessage(nowMs)) }
        gossip.hostsToProbe(nowMs).takeIf { it.isNotEmpty() }?.let { send(it, gossip.probeMessage()) }
        refresh(nowMs)
    }

    private fun send(
        hosts: List<String>,
        message: GossipMessage,
    ) {
        val bytes = GossipCodec.encode(message)
        for (host in hosts) channel?.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), InetSocketAddress(host, localAddress.port)))
        channel?.flush()
    }

    private fun refresh(nowMs: Long) {
        val previousHosts = eligibleHosts
        liveMembers = gossip.liveMembers(nowMs)
        // An instance that is leaving serves its own requests to their end, through others where there are any.
        eligibleHosts = liveMembers.filterNot { it.isLeaving }.map { it.host }.ifEmpty { listOf(localAddress.host) }
        if (eligibleHosts == previousHosts) return
        eligibleHostsChangedAtMs = nowMs
        log.line(
            "members.changed",
            "live" to liveMembers.size,
            "joined" to (eligibleHosts - previousHosts.toSet()),
            "gone" to (previousHosts - eligibleHosts.toSet()),
        )
        listeners.forEach { it() }
    }

    private inner class DatagramHandler : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: DatagramPacket,
        ) {
            val message = GossipCodec.decodeOrNull(ByteBufUtil.getBytes(msg.content()))
            if (message == null) {
                log.line("gossip.unreadable", "from" to msg.sender())
                return
            }
            val nowMs = clock.nowMs()
            val received = gossip.receive(message, nowMs)
            received.reply?.let { send(listOf(it.host), it.message) }
            if (received.isMembershipChanged) refresh(nowMs)
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.failure("gossip", cause)
        }
    }

    private companion object {
        /** What a former holder had queued is worked off within a few calls. */
        const val OWNERSHIP_STABLE_AFTER_MS = 2_000L

        /** Seeds answer at once, and within eight rounds of 36 digests each all are heard of. */
        const val JOIN_DURATION_MS = 2_000L
    }
}
