package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.model.InstanceId

/**
 * Tells until when the configuration in force counts as current.
 *
 * Two kinds of evidence count: a read of the platform, the own one or one that a peer tells the age of, and the word of a quorum of
 * the cell that it knows nothing newer. All times are on the own clock, from before the question was sent.
 */
internal class FreshnessTracker(
    private val self: InstanceId,
    private val timing: ReplicationTiming,
) {
    private class Evidence(
        val revision: Long,
        val asOfMs: Long,
        val reader: InstanceId,
    )

    private val confirmedAtMs = HashMap<InstanceId, Long>()
    private var evidence: Evidence? = null
    private var pending: Evidence? = null
    private var newestSeen = 0L

    /** Notes that [reader] found nothing newer than [revision] at the platform, as of [asOfMs]. */
    fun recordRead(
        activeRevision: Long,
        revision: Long,
        asOfMs: Long,
        reader: InstanceId,
    ) {
        val read = Evidence(revision, asOfMs, reader)
        when {
            revision > activeRevision -> if (pending.isOlderThan(read)) pending = read
            revision == activeRevision && newestSeen <= activeRevision -> if (evidence.isOlderThan(read)) evidence = read
        }
    }

    /** Notes what [from] answered to a question sent at [sentMs]. */
    fun recordReply(
        activeRevision: Long,
        from: InstanceId,
        held: HeldRevisions,
        sentMs: Long,
    ) {
        recordSeen(held.configuration)
        if (held.canConfirm && held.configuration <= activeRevision) confirmedAtMs.merge(from, sentMs, ::maxOf) else confirmedAtMs -= from
        val reader = held.reader ?: return
        held.readAgeMs?.let { recordRead(activeRevision, held.configuration, sentMs - it, InstanceId(reader)) }
    }

    /** Notes that a process holds [revision]. */
    fun recordSeen(revision: Long) {
        newestSeen = maxOf(newestSeen, revision)
    }

    /** Notes that [revision] came into force: what was known of it counts from now on. */
    fun recordAdoption(revision: Long) {
        recordSeen(revision)
        evidence = pending?.takeIf { it.revision == revision } ?: evidence
        pending = pending?.takeIf { it.revision > revision }
    }

    /** Returns how long ago the platform had nothing newer than [activeRevision], or null if that is not known. */
    fun readAgeMs(
        nowMs: Long,
        activeRevision: Long,
    ): Long? = evidence?.takeIf { it.revision == activeRevision }?.let { nowMs - it.asOfMs }

    /** Returns whose read [readAgeMs] rests on. */
    fun reader(): InstanceId? = evidence?.reader

    /** Returns whether nothing was heard of a read for [durationMs]. */
    fun isReadOverdue(
        nowMs: Long,
        durationMs: Long,
    ): Boolean = nowMs - (evidence?.asOfMs ?: NEVER_MS) > durationMs

    /** Returns whether another instance than this one read within [withinMs]. */
    fun recentOtherReader(
        nowMs: Long,
        withinMs: Long,
    ): InstanceId? = evidence?.takeIf { it.reader != self && nowMs - it.asOfMs <= withinMs }?.reader

    /** Returns until when [activeRevision] counts as current. */
    fun freshUntilMs(
        activeRevision: Long,
        topology: Topology?,
    ): Long {
        if (activeRevision == 0L) return NEVER_MS
        if (topology != null && topology.isOnlyCellMember) return Long.MAX_VALUE
        return maxOf(evidence?.asOfMs ?: NEVER_MS, quorumConfirmedAtMs(activeRevision, topology)) + timing.freshnessMs
    }

    private fun quorumConfirmedAtMs(
        activeRevision: Long,
        topology: Topology?,
    ): Long {
        if (topology == null || newestSeen > activeRevision) return NEVER_MS
        val times = topology.otherCellMembers.mapNotNull { confirmedAtMs[it] }.sortedDescending()
        return times.getOrNull(topology.confirmationsNeeded - 1) ?: NEVER_MS
    }

    private fun Evidence?.isOlderThan(other: Evidence) =
        this == null || revision < other.revision || (revision == other.revision && asOfMs < other.asOfMs)

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
