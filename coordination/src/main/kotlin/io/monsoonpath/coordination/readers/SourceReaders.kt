package io.monsoonpath.coordination.readers

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.gossip.rendezvousScore
import kotlin.random.Random

/** The part of an instance in reading a source of documents that all instances need. */
enum class ReaderRole(
    /** Whether the instance reads the source. */
    val isReading: Boolean,
) {
    /** The fleet is small: each instance reads for itself and forwards nothing. */
    INDEPENDENT(isReading = true),

    /** One of the first readers of its failure domain: reads, and forwards to the instances that rank after it. */
    READER(isReading = true),

    /** Reads for itself because it does not hear two readers, and forwards like a reader. */
    SUBSTITUTE(isReading = true),

    /** Makes no calls to the source: two readers forward what they read. */
    SERVED(isReading = false),
}

/** Limits of [SourceReaders], in milliseconds unless stated otherwise. */
data class ReaderTiming(
    /** The largest number of live members of which each reads for itself. */
    val maxIndependentMembers: Int = 24,
    /** The number of readers in each failure domain. */
    val readersPerDomain: Int = 2,
    /** The age at which a reader's heartbeat is no longer fresh: two intervals of 500 ms, and time for a busy machine. */
    val freshForMs: Long = 1_200,
    /** The time that instances wait after [freshForMs] for those that rank before them and replace the missing readers. */
    val substituteMs: Long = 500,
    /** The additional time for each further rank, so that the instances of a failure domain do not all call the source at once. */
    val perRankMs: Long = 100,
    /** The largest age of the last heartbeat after which an instance reads, without [jitterMs]. A change must apply within 3 s. */
    val maxWaitMs: Long = 2_200,
    /** The upper bound of the random time that is added to each wait. */
    val jitterMs: Long = 100,
    /** How long an instance must hear two readers before it stops reading. */
    val settleMs: Long = 1_500,
)

/**
 * Decides whether an instance reads a source of documents itself, from the live members and the heartbeats of readers.
 *
 * The hosts of a failure domain are ordered by rendezvous hashing. An instance reads if it hears fewer than two current readers that rank
 * before it. The first two of each failure domain therefore always read, and one that hears nobody does, too: no agreement is needed, and
 * different views cost additional calls, never a missed change. If a reader fails, those ranked next replace it without waiting for
 * gossip to notice; later ones wait longer.
 *
 * Designed for up to 100 members in 3 or 4 failure domains; a decision costs a hash for each member.
 *
 * @param host the host of this instance
 * @param domain the [domainNumber] of its failure domain
 */
class SourceReaders(
    private val host: String,
    private val domain: Int,
    private val timing: ReaderTiming,
    private val random: Random,
) {
    private val lastHeartbeatsMs = HashMap<String, Long>()
    private val ownScore = rendezvousScore(host, RANKING_KEY)
    private var heardTwoSinceMs = NEVER
    private var joinedAtMs = NEVER
    private var rank = 0
    private var jitterMs = 0L

    /** The role as of the last decision. */
    var role = ReaderRole.INDEPENDENT
        private set

    /** Records that a heartbeat arrived from the reader at [from], which is in contact with the source and not behind this instance. */
    fun recordHeartbeat(
        from: String,
        nowMs: Long,
    ) {
        lastHeartbeatsMs[from] = nowMs
    }

    /** Returns the number of readers ranked before this instance with a fresh heartbeat. */
    fun freshReaders(nowMs: Long): Int = lastHeartbeatsMs.count { (from, atMs) -> ranksBefore(from) && nowMs - atMs <= timing.freshForMs }

    /** Discards all heartbeats, for use after a pause of the process: those that waited in buffers are older than they appear. */
    fun forgetAll(nowMs: Long) {
        lastHeartbeatsMs.clear()
        heardTwoSinceMs = NEVER
        joinedAtMs = nowMs
        if (role == ReaderRole.SERVED) role = ReaderRole.SUBSTITUTE
    }

    /** Returns the role of this instance among the live [members], which include it. */
    fun decide(
        members: List<MemberDigest>,
        nowMs: Long,
    ): ReaderRole {
        lastHeartbeatsMs.values.removeIf { nowMs - it > FORGET_AFTER_MS }
        role = nextRole(members, nowMs)
        return role
    }

    private fun nextRole(
        members: List<MemberDigest>,
        nowMs: Long,
    ): ReaderRole {
        val fresh = freshReaders(nowMs)
        if (fresh < timing.readersPerDomain) {
            heardTwoSinceMs = NEVER
        } else if (heardTwoSinceMs == NEVER) {
            heardTwoSinceMs = nowMs
        }
        if (members.size <= timing.maxIndependentMembers) {
            joinedAtMs = nowMs
            return ReaderRole.INDEPENDENT
        }
        rank = members.count { it.domain == domain && !it.isLeaving && it.host != host && ranksBefore(it.host) }
        if (rank < timing.readersPerDomain) return ReaderRole.READER
        if (role == ReaderRole.SERVED) return if (isWaitOver(nowMs)) ReaderRole.SUBSTITUTE else ReaderRole.SERVED
        val isSettled = heardTwoSinceMs != NEVER && nowMs - heardTwoSinceMs >= timing.settleMs
        if (!isSettled) return ReaderRole.SUBSTITUTE
        jitterMs = random.nextLong(timing.jitterMs + 1)
        return ReaderRole.SERVED
    }

    /** Returns whether this instance has lacked a reader for long enough for those that rank before it to replace the missing ones. */
    private fun isWaitOver(nowMs: Long): Boolean {
        val fresh = freshReaders(nowMs)
        if (fresh >= timing.readersPerDomain) return false
        val newest = lastHeartbeatsMs.filterKeys(::ranksBefore).values.sortedDescending()
        val lackingSinceMs = maxOf(newest.getOrNull(timing.readersPerDomain - 1) ?: NEVER, joinedAtMs)
        val missing = timing.readersPerDomain - fresh
        val place = rank - timing.readersPerDomain
        val waitMs =
            if (place < missing) timing.freshForMs else timing.freshForMs + timing.substituteMs + timing.perRankMs * (place - missing)
        return nowMs - lackingSinceMs > minOf(waitMs, timing.maxWaitMs) + jitterMs
    }

    /**
     * Returns whether this instance forwards what it reads. A substitute does so once those that rank before it have had the time, so that
     * a fleet that starts as a whole does not forward from each instance to each.
     */
    fun isForwarding(nowMs: Long): Boolean = role == ReaderRole.READER || (role == ReaderRole.SUBSTITUTE && isWaitOver(nowMs))

    /** Returns the hosts to which this instance forwards: the live [members] of its failure domain that it ranks before. */
    fun receivers(members: List<MemberDigest>): List<String> =
        members.filter { it.domain == domain && it.host != host && !ranksBefore(it.host) }.map { it.host }

    private fun ranksBefore(other: String): Boolean {
        val score = rendezvousScore(other, RANKING_KEY)
        return score > ownScore || (score == ownScore && other < host)
    }

    private companion object {
        const val NEVER = -1L

        /** One ranking for all topics, because a reader tells an outage from a lost connection by its calls for all of them. */
        const val RANKING_KEY = "store-readers"

        /** Longer than any wait. */
        const val FORGET_AFTER_MS = 10_000L
    }
}

/**
 * Returns the number from 1 to 255 that stands for the failure domain [name] in the digest of a member, where it takes two bytes.
 *
 * Failure domains with the same number share their readers, which costs traffic between them and saves calls.
 */
fun domainNumber(name: String): Int = Math.floorMod(HASHER.hashCharsToLong(name), DOMAIN_NUMBERS) + 1

private const val DOMAIN_NUMBERS = 255
private val HASHER = Hashing.komihash5_0()
