package io.monsoonpath.coordination.gossip

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlin.random.Random

/**
 * The state of one member as disseminated by gossip.
 *
 * @property host the address at which peers reach the instance; also its key
 * @property incarnation increases with each start of the process
 * @property heartbeat a counter that the running process increments in each round
 * @property isLeaving whether the instance is shutting down and must not own keys
 * @property documentRevisions the newest revision of each topic of shared documents that the member has seen, in an order that is
 * the same on all instances, then the era of their source
 * @property capacityMillicores the processor time that the member can use, in thousandths of a core; 0 if unknown
 * @property domain the number of the member's failure domain, from 1 to 255; 0 if unknown
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class MemberDigest(
    val host: String,
    val incarnation: Long,
    val heartbeat: Long,
    val isLeaving: Boolean,
    // A default value that is left out of the array would shift the fields after it.
    @EncodeDefault val documentRevisions: List<Long> = emptyList(),
    @EncodeDefault val capacityMillicores: Int = 0,
    val domain: Int = 0,
)

/**
 * A gossip message. The first digest is the sender's own.
 *
 * @property isProbe whether the sender requests the receiver's own digest as a liveness check
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class GossipMessage(
    val members: List<MemberDigest>,
    val isProbe: Boolean = false,
) {
    /** Whether this is the reply to a probe, which holds the sender's digest only. */
    val isProbeReply: Boolean get() = !isProbe && members.size == 1
}

/**
 * The result of receiving a gossip message.
 *
 * @property isMembershipChanged whether a member joined, restarted, recovered or started to leave
 * @property reply the immediate reply to the sender, if any: a full message if the sender was not live in this view, since it may have no
 * other contact, or this instance's digest if the sender sent a probe
 */
data class ReceiveResult(
    val isMembershipChanged: Boolean,
    val reply: Reply?,
)

/** A message addressed to the instance at [host]. */
data class Reply(
    val host: String,
    val message: GossipMessage,
)

/** Intervals and limits of the gossip protocol. */
data class GossipTiming(
    /** The interval between two rounds, in milliseconds. */
    val intervalMs: Long = 250,
    /** The number of members that receive the message of a round. */
    val fanout: Int = 3,
    /** A member whose heartbeat has not advanced for longer counts as dead. Six rounds tolerate the loss of one or two datagrams. */
    val deadAfterMs: Long = 1_500,
    /** The same limit per member, used if larger. Messages are bounded, so digests disseminate more slowly in a large fleet. */
    val deadAfterPerMemberMs: Long = 25,
    /** A member is removed after this time without a new heartbeat. Until then, dead members may still be contacted. */
    val removeAfterMs: Long = 20_000,
    /** The number of digests per message: about one kilobyte, which fits into a datagram. */
    val maxDigests: Int = 28,
    /** A live member is probed directly after its heartbeat has not advanced for this fraction of the dead time. */
    val probeAfterFraction: Double = 0.4,
    /** The number of members probed per round, which costs a few hundred bytes. */
    val maxProbes: Int = 6,
)

/**
 * Gossip-based membership. Each instance increments its own heartbeat and forwards the newest heartbeats received for all members.
 *
 * In a large fleet, a message holds only some of the members, and the digests of a few members take several times as long to arrive
 * as those of most. A live member must not count as dead for that reason, because its keys would be reassigned. Members with an old
 * heartbeat are therefore probed directly in time.
 *
 * The traffic per instance is bounded by the fanout and the message size, independent of the number of members. There is no central
 * decision on membership: views differ temporarily, so a key that is assigned by a view may have two owners for a while.
 */
class Gossip(
    host: String,
    incarnation: Long,
    private val seeds: List<String>,
    private val timing: GossipTiming,
    private val random: Random,
    capacityMillicores: Int = 0,
    domain: Int = 0,
) {
    private class Entry(
        var digest: MemberDigest,
        var advancedAtMs: Long,
    )

    private val others = LinkedHashMap<String, Entry>()

    /** The digest of this instance. */
    var self = MemberDigest(host, incarnation, heartbeat = 0, isLeaving = false, capacityMillicores = capacityMillicores, domain = domain)
        private set

    /** Updates the digest of this instance. */
    fun announce(
        isLeaving: Boolean = self.isLeaving,
        documentRevisions: List<Long> = self.documentRevisions,
    ) {
        self = self.copy(isLeaving = isLeaving, documentRevisions = documentRevisions)
    }

    /** Removes all other members, for use after a pause of the process in which the membership may have changed. */
    fun forgetAll() = others.clear()

    /** Returns the live members, including this instance, sorted by host. */
    fun liveMembers(nowMs: Long): List<MemberDigest> =
        (others.values.filter { isLive(it, nowMs) }.map { it.digest } + self).sortedBy { it.host }

    /** Returns the number of members that may be alive, including this instance: live ones and dead ones that are not removed yet. */
    fun knownCount(): Int = others.size + 1

    /** Merges [message], whose first digest is the sender's. */
    fun receive(
        message: GossipMessage,
        nowMs: Long,
    ): ReceiveResult {
        var isMembershipChanged = false
        val sender = message.members.firstOrNull()?.host
        val isSenderLive = sender == self.host || others[sender]?.let { isLive(it, nowMs) } == true
        for (digest in message.members) if (digest.host != self.host && merge(digest, nowMs)) isMembershipChanged = true
        val reply =
            when {
                sender == null || sender == self.host -> null
                !isSenderLive -> roundMessage(nowMs)
                message.isProbe -> GossipMessage(listOf(self))
                else -> null
            }
        return ReceiveResult(isMembershipChanged, reply?.let { Reply(checkNotNull(sender), it) })
    }

    private fun merge(
        digest: MemberDigest,
        nowMs: Long,
    ): Boolean {
        val entry = others[digest.host]
        if (entry == null) {
            others[digest.host] = Entry(digest, nowMs)
            return true
        }
        val old = entry.digest
        val isNewer = digest.incarnation > old.incarnation || (digest.incarnation == old.incarnation && digest.heartbeat > old.heartbeat)
        if (!isNewer) return false
        val isMembershipChanged = !isLive(entry, nowMs) || digest.incarnation != old.incarnation || digest.isLeaving != old.isLeaving
        entry.digest = digest
        entry.advancedAtMs = nowMs
        return isMembershipChanged
    }

    /** Starts a round and returns the hosts to send [roundMessage] to. */
    fun startRound(nowMs: Long): List<String> {
        self = self.copy(heartbeat = self.heartbeat + 1)
        others.values.removeIf { nowMs - it.advancedAtMs > timing.removeAfterMs }
        val live = others.values.filter { isLive(it, nowMs) }.map { it.digest.host }
        // Also one address that is not live: lets a new instance join, and rejoins the halves of a healed partition.
        val silent = (seeds + others.keys).filter { it != self.host && it !in live }.distinct()
        return live.shuffled(random).take(timing.fanout) + silent.shuffled(random).take(if (live.isEmpty()) seeds.size else 1)
    }

    /** Returns the message of a round: this instance and the live members with the most recent heartbeats, as many as fit. */
    fun roundMessage(nowMs: Long): GossipMessage {
        val live =
            others.values
                .filter { isLive(it, nowMs) }
                .shuffled(random)
                .sortedByDescending { it.advancedAtMs }
        return GossipMessage(listOf(self) + live.take(timing.maxDigests - 1).map { it.digest })
    }

    /** Returns the hosts to send [probeMessage] to: live members without a recent heartbeat, oldest first. */
    fun hostsToProbe(nowMs: Long): List<String> =
        others.values
            .filter { isLive(it, nowMs) && nowMs - it.advancedAtMs > deadAfterMs() * timing.probeAfterFraction }
            .sortedBy { it.advancedAtMs }
            .take(timing.maxProbes)
            .map { it.digest.host }

    /** Returns a message that requests the receiver's own digest. */
    fun probeMessage(): GossipMessage = GossipMessage(listOf(self), isProbe = true)

    private fun isLive(
        entry: Entry,
        nowMs: Long,
    ) = nowMs - entry.advancedAtMs <= deadAfterMs()

    private fun deadAfterMs() = maxOf(timing.deadAfterMs, timing.deadAfterPerMemberMs * others.size)
}
