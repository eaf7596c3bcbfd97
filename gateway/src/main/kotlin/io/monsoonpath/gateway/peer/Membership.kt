package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.Gossip
import io.monsoonpath.coordination.gossip.GossipCodec
import io.monsoonpath.coordination.gossip.GossipMessage
import io.monsoonpath.coordination.gossip.GossipTiming
import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.gossip.PathMonitor
import io.monsoonpath.coordination.gossip.ownerCandidates
import io.monsoonpath.coordination.gossip.rendezvousOwner
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.channel.EventLoop
import kotlin.random.Random

/**
 * Tracks the live instances by gossip over UDP and assigns an owner to each key, such as a pool. Must be used on the event loop only.
 *
 * @param localAddress the address of this instance; all instances use the same port
 * @param seeds the hosts through which this instance joins
 * @param incarnation a number that increases with each start of the process
 * @param capacityMillicores the processor time that this instance can use, in thousandths of a core; 0 if unknown
 * @param domain the number of its failure domain, from 1 to 255; 0 if unknown
 */
class Membership(
    loop: EventLoop,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val localAddress: Address,
    seeds: List<String>,
    incarnation: Long,
    private val log: DecisionLog,
    random: Random,
    capacityMillicores: Int,
    domain: Int = 0,
) {
    private val timing = GossipTiming()
    private val gossip = Gossip(localAddress.host, incarnation, seeds, timing, random, capacityMillicores, domain)
    private val paths = PathMonitor()
    private val listeners = ArrayList<() -> Unit>()
    private val datagrams = PeerDatagrams(loop, localAddress, "gossip", log) { from, bytes -> receive(from, bytes) }

    /** Returns the hosts whose work this instance waits for, and whose paths are therefore watched. */
    var hostsInUse: () -> Set<String> = { emptySet() }

    /** The live members, including this instance. */
    var liveMembers: List<MemberDigest> = gossip.liveMembers(clock.nowMs())
        private set

    /** The hosts of the live members that may own keys, see [ownerCandidates], or this instance if there are none. */
    var eligibleHosts: List<String> = listOf(localAddress.host)
        private set

    private var eligibleHostsChangedAtMs = clock.nowMs()

    /** Whether this instance joins others. */
    val hasOtherSeeds = seeds.any { it != localAddress.host }
    private var joiningSinceMs = clock.nowMs()

    /** Whether enough time has passed since the start, or since a pause of the process, to have received the digests of all members. */
    val isJoined: Boolean get() = !hasOtherSeeds || clock.nowMs() - joiningSinceMs > JOIN_DURATION_MS

    /** Whether this instance may own keys and former owners have had time to finish their work on keys that moved. */
    val isOwnershipStable: Boolean get() =
        localAddress.host in eligibleHosts &&
            clock.nowMs() - eligibleHostsChangedAtMs > OWNERSHIP_STABLE_AFTER_MS

    /** The number of members that may be alive, including this instance: live ones and dead ones that are not removed yet. */
    val knownCount: Int get() = gossip.knownCount()

    /** The hosts in use that do not reply to this instance, whether or not they are live for others. */
    val unreachableHosts: Set<String> get() = paths.unreachableHosts

    /** Registers [listener], which is called after each change of [eligibleHosts] or [unreachableHosts]. */
    fun onChange(listener: () -> Unit) {
        listeners += listener
    }

    /** Returns the host that owns [key]. Views differ temporarily, so two hosts may both consider themselves the owner for a while. */
    fun ownerOf(key: String): String = rendezvousOwner(key, reachableHosts) ?: localAddress.host

    /** Whether [ownerOf] returns what it returns on instances that reach all others. */
    fun isCommonOwner(key: String): Boolean = rendezvousOwner(key, eligibleHosts) == ownerOf(key)

    private var reachableHosts = eligibleHosts

    /** Binds the UDP port and starts the periodic gossip rounds. */
    fun start() {
        datagrams.start()
        scheduler.scheduleRepeatedly(timing.intervalMs, ::runRound)
    }

    /** Announces that this instance is shutting down, so that it no longer owns keys. */
    fun announceLeaving() = gossip.announce(isLeaving = true)

    /** Announces the newest revision of each topic of shared documents on this instance. All instances use the same order of topics. */
    fun announceDocuments(revisions: List<Long>) = gossip.announce(documentRevisions = revisions)

    /** Removes all other members and joins again, for use after a pause of the process. Their digests arrive again within a round. */
    fun rejoin() {
        joiningSinceMs = clock.nowMs()
        gossip.forgetAll()
        paths.forgetAll()
    }

    private fun runRound() {
        val nowMs = clock.nowMs()
        val targets = gossip.startRound(nowMs)
        targets.takeIf { it.isNotEmpty() }?.let { send(it, gossip.roundMessage(nowMs)) }
        gossip.hostsToProbe(nowMs).takeIf { it.isNotEmpty() }?.let { send(it, gossip.probeMessage()) }
        checkPaths(nowMs)
        refresh(nowMs)
    }

    private fun checkPaths(nowMs: Long) {
        val previous = paths.unreachableHosts
        paths.startRound(hostsInUse(), nowMs).takeIf { it.isNotEmpty() }?.let { send(it, gossip.probeMessage()) }
        if (paths.unreachableHosts == previous) return
        log.line("paths.changed", "lost" to paths.unreachableHosts - previous, "restored" to previous - paths.unreachableHosts)
        updateReachable()
        listeners.forEach { it() }
    }

    private fun updateReachable() {
        reachableHosts = eligibleHosts.filterNot { it in paths.unreachableHosts }
    }

    private fun send(
        hosts: List<String>,
        message: GossipMessage,
    ) {
        datagrams.send(hosts, listOf(GossipCodec.encode(message)))
    }

    private fun refresh(nowMs: Long) {
        val previousHosts = eligibleHosts
        liveMembers = gossip.liveMembers(nowMs)
        // An instance that is shutting down completes its own requests, and sends their pieces to other owners if there are any.
        eligibleHosts = ownerCandidates(liveMembers).ifEmpty { listOf(localAddress.host) }
        if (eligibleHosts == previousHosts) return
        eligibleHostsChangedAtMs = nowMs
        updateReachable()
        log.line(
            "members.changed",
            "live" to liveMembers.size,
            "owners" to eligibleHosts.size,
            "joined" to (eligibleHosts - previousHosts.toSet()),
            "gone" to (previousHosts - eligibleHosts.toSet()),
        )
        listeners.forEach { it() }
    }

    private fun receive(
        from: String,
        bytes: ByteArray,
    ): Boolean {
        val message = GossipCodec.decodeOrNull(bytes) ?: return false
        val nowMs = clock.nowMs()
        if (message.isProbeReply) paths.recordReply(from)
        val received = gossip.receive(message, nowMs)
        received.reply?.let { send(listOf(it.host), it.message) }
        if (received.isMembershipChanged) refresh(nowMs)
        return true
    }

    private companion object {
        /** A former owner completes its queued work within a few calls. */
        const val OWNERSHIP_STABLE_AFTER_MS = 2_000L

        /** Seeds reply immediately, and the digests of all members arrive within eight rounds of 36 digests each. */
        const val JOIN_DURATION_MS = 2_000L
    }
}
