package io.monsoonpath.coordination.gossip

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import kotlin.random.Random

/**
 * What one instance says of itself, as it travels from instance to instance.
 *
 * @property host the address by which the others reach it; it names the instance
 * @property incarnation grows with each start of the process
 * @property heartbeat grows while the process runs
 * @property isLeaving whether it ends soon and takes on no duties
 * @property documentRevisions the newest revision that it knows of each topic of shared documents, in an order that all agree on
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class MemberDigest(
    val host: String,
    val incarnation: Long,
    val heartbeat: Long,
    val isLeaving: Boolean,
    val documentRevisions: List<Long> = emptyList(),
)

/**
 * What instances tell each other of the members: the sender's own digest first.
 *
 * @property isProbe whether the sender waits for a sign of life from the receiver
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
data class GossipMessage(
    val members: List<MemberDigest>,
    val isProbe: Boolean = false,
)

/**
 * What a message brought.
 *
 * @property isMembershipChanged whether a member joined, came back or began to leave
 * @property reply what its sender gets at once: all that is known if it was not known to live, since it may know no other, and this
 * instance's digest if it asked for a sign of life
 */
data class ReceiveResult(
    val isMembershipChanged: Boolean,
    val reply: Reply?,
)

/** A message for the instance at [host]. */
data class Reply(
    val host: String,
    val message: GossipMessage,
)

/** The pace of gossip. */
data class GossipTiming(
    /** The time between two rounds, in milliseconds. */
    val intervalMs: Long = 250,
    /** How many members hear of each round. */
    val fanout: Int = 3,
    /** A member whose heartbeat stands still for longer is taken for dead: six rounds, since a datagram or two may be lost. */
    val deadAfterMs: Long = 1_500,
    /** The same in a large fleet, for each member: messages are bounded, so news of all takes longer to get around. */
    val deadAfterPerMemberMs: Long = 25,
    /** A dead member is forgotten after this, and until then may be asked whether it is back. */
    val removeAfterMs: Long = 20_000,
    /** The digests of one message: about a kilobyte, which a datagram holds. */
    val maxDigests: Int = 28,
    /** A member whose heartbeat has stood still for this part of the time after which it counts as dead is asked itself. */
    val probeAfterFraction: Double = 0.4,
    /** The members that are asked in one round: some hundred bytes. */
    val maxProbes: Int = 6,
)

/**
 * Membership by gossip: each instance counts up a heartbeat of its own and passes on the newest beats that it has heard of all members.
 *
 * Load pattern: a fleet so large that a message holds only some of its members. News of a few then take several times as long as of most,
 * and a live member whose news are late must not count as dead, since its duties would move. It is therefore asked itself in time.
 *
 * Traffic for each instance is bounded by the fanout and the message size, whatever the number of members. Nobody decides who is a
 * member: views differ for a while, and duties given out by them must bear two holders.
 */
class Gossip(
    host: String,
    incarnation: Long,
    private val seeds: List<String>,
    private val timing: GossipTiming,
    private val random: Random,
) {
    private class Entry(
        var digest: MemberDigest,
        var advancedAtMs: Long,
    )

    private val others = LinkedHashMap<String, Entry>()

    /** What this instance says of itself. */
    var self = MemberDigest(host, incarnation, heartbeat = 0, isLeaving = false)
        private set

    /** Changes what this instance says of itself. */
    fun announce(
        isLeaving: Boolean = self.isLeaving,
        documentRevisions: List<Long> = self.documentRevisions,
    ) {
        self = self.copy(isLeaving = isLeaving, documentRevisions = documentRevisions)
    }

    /** Forgets all others, as after a pause in which everything may have changed. */
    fun forgetAll() = others.clear()

    /** Returns the members that are alive, this one included, in the order of their hosts. */
    fun liveMembers(nowMs: Long): List<MemberDigest> =
        (others.values.filter { isLive(it, nowMs) }.map { it.digest } + self).sortedBy { it.host }

    /** Returns the most members that may be alive now: the live ones and those that have fallen silent lately. */
    fun knownCount(): Int = others.size + 1

    /** Takes in [message], whose first digest is its sender's. */
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

    /** Begins a round: returns the hosts that get [message] now. */
    fun startRound(nowMs: Long): List<String> {
        self = self.copy(heartbeat = self.heartbeat + 1)
        others.values.removeIf { nowMs - it.advancedAtMs > timing.removeAfterMs }
        val live = others.values.filter { isLive(it, nowMs) }.map { it.digest.host }
        // One address that is not known to live: how a new instance finds the others, and how two halves find each other again.
        val silent = (seeds + others.keys).filter { it != self.host && it !in live }.distinct()
        return live.shuffled(random).take(timing.fanout) + silent.shuffled(random).take(if (live.isEmpty()) seeds.size else 1)
    }

    /** Returns the message of this round: this instance and the live members with the newest beats, as many as fit. */
    fun roundMessage(nowMs: Long): GossipMessage {
        val live =
            others.values
                .filter { isLive(it, nowMs) }
                .shuffled(random)
                .sortedByDescending { it.advancedAtMs }
        return GossipMessage(listOf(self) + live.take(timing.maxDigests - 1).map { it.digest })
    }

    /** Returns the hosts that get [probe] now: live members of which nothing new was heard for long, the most silent first. */
    fun hostsToProbe(nowMs: Long): List<String> =
        others.values
            .filter { isLive(it, nowMs) && nowMs - it.advancedAtMs > deadAfterMs() * timing.probeAfterFraction }
            .sortedBy { it.advancedAtMs }
            .take(timing.maxProbes)
            .map { it.digest.host }

    /** Returns a message that asks for a sign of life. */
    fun probeMessage(): GossipMessage = GossipMessage(listOf(self), isProbe = true)

    private fun isLive(
        entry: Entry,
        nowMs: Long,
    ) = nowMs - entry.advancedAtMs <= deadAfterMs()

    private fun deadAfterMs() = maxOf(timing.deadAfterMs, timing.deadAfterPerMemberMs * others.size)
}
