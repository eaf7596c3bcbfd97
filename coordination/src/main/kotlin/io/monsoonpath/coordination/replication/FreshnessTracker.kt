package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.model.InstanceId

/**
 * Tracks how long the active configuration counts as fresh.
 *
 * Freshness is based on the latest platform read, by this process or with an age reported by a peer, or on a quorum of the cell that
 * confirms to hold nothing newer. All times are on the local clock and taken before the request was sent.
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

    /** Records that [reader] found nothing newer than [revision] on the platform, as of [asOfMs]. */
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

    /** Records the reply of [from] to a request sent at [sentMs]. */
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

    /** Records that some process holds [revision]. */
    fun recordSeen(revision: Long) {
        newestSeen = maxOf(newestSeen, revision)
    }

    /** Records that [revision] became active. Evidence recorded for it earlier takes effect. */
    fun recordAdoption(revision: Long) {
        recordSeen(revision)
        evidence = pending?.takeIf { it.revision == revision } ?: evidence
        pending = pending?.takeIf { it.revision > revision }
    }

    /** Returns the time since a platform read found nothing newer than [activeRevision], or null if unknown. */
    fun readAgeMs(
        nowMs: Long,
        activeRevision: Long,
    ): Long? = evidence?.takeIf { it.revision == activeRevision }?.let { nowMs - it.asOfMs }

    /** Returns the instance that performed the read of [readAgeMs]. */
    fun reader(): InstanceId? = evidence?.reader

    /** Returns whether the latest recorded read is older than [durationMs]. */
    fun isReadOverdue(
        nowMs: Long,
        durationMs: Long,
    ): Boolean = nowMs - (evidence?.asOfMs ?: NEVER_MS) > durationMs

    /** Returns the instance of the latest recorded read if it is another instance and at most [withinMs] old, or null. */
    fun recentOtherReader(
        nowMs: Long,
        withinMs: Long,
    ): InstanceId? = evidence?.takeIf { it.reader != self && nowMs - it.asOfMs <= withinMs }?.reader

    /** Returns the time until which [activeRevision] counts as fresh. */
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
