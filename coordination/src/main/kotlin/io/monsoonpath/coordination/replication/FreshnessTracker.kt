package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.model.InstanceId

/**
 * Tells until when the configuration in force counts as current.
 *
 * Two kinds of evidence count: a read of the platform, the own one or one that a peer tells the age of, and the word of a quorum of
 * the cell that it knows nothing newer. All times are on the own clock, from before the question was sent.
 */
internal class Currency(
    private val self: InstanceId,
    private val timing: SpreadTiming,
) {
    private class Evidence(
        val revision: Long,
        val asOfMs: Long,
        val reader: InstanceId,
    )

    private val vouchedAtMs = HashMap<InstanceId, Long>()
    private var evidence: Evidence? = null
    private var pending: Evidence? = null
    private var newestHeard = 0L

    /** Notes that [reader] found nothing newer than [revision] at the platform, as of [asOfMs]. */
    fun noteRead(
        inForce: Long,
        revision: Long,
        asOfMs: Long,
        reader: InstanceId,
    ) {
        val read = Evidence(revision, asOfMs, reader)
        when {
            revision > inForce -> if (pending.isOlderThan(read)) pending = read
            revision == inForce && newestHeard <= inForce -> if (evidence.isOlderThan(read)) evidence = read
        }
    }

    /** Notes what [from] answered to a question sent at [askedMs]. */
    fun noteAnswer(
        inForce: Long,
        from: InstanceId,
        held: HeldRevisions,
        askedMs: Long,
    ) {
        noteHeard(held.configuration)
        if (held.settled && held.configuration <= inForce) vouchedAtMs.merge(from, askedMs, ::maxOf) else vouchedAtMs -= from
        val reader = held.reader ?: return
        held.readAgeMs?.let { noteRead(inForce, held.configuration, askedMs - it, InstanceId(reader)) }
    }

    /** Notes that a process holds [revision]. */
    fun noteHeard(revision: Long) {
        newestHeard = maxOf(newestHeard, revision)
    }

    /** Notes that [revision] came into force: what was known of it counts from now on. */
    fun noteAdopted(revision: Long) {
        noteHeard(revision)
        evidence = pending?.takeIf { it.revision == revision } ?: evidence
        pending = pending?.takeIf { it.revision > revision }
    }

    /** Returns how long ago the platform had nothing newer than [inForce], or null if that is not known. */
    fun readAgeMs(
        nowMs: Long,
        inForce: Long,
    ): Long? = evidence?.takeIf { it.revision == inForce }?.let { nowMs - it.asOfMs }

    /** Returns whose read [readAgeMs] rests on. */
    fun reader(): InstanceId? = evidence?.reader

    /** Returns whether nothing was heard of a read for [durationMs]. */
    fun isSilent(
        nowMs: Long,
        durationMs: Long,
    ): Boolean = nowMs - (evidence?.asOfMs ?: NEVER_MS) > durationMs

    /** Returns whether another instance than this one read within [withinMs]. */
    fun othersRead(
        nowMs: Long,
        withinMs: Long,
    ): InstanceId? = evidence?.takeIf { it.reader != self && nowMs - it.asOfMs <= withinMs }?.reader

    /** Returns until when [inForce] counts as current. */
    fun currentUntilMs(
        inForce: Long,
        topology: Topology?,
    ): Long {
        if (inForce == 0L) return NEVER_MS
        if (topology != null && topology.isAlone) return Long.MAX_VALUE
        return maxOf(evidence?.asOfMs ?: NEVER_MS, vouchedSinceMs(inForce, topology)) + timing.currencyMs
    }

    private fun vouchedSinceMs(
        inForce: Long,
        topology: Topology?,
    ): Long {
        if (topology == null || newestHeard > inForce) return NEVER_MS
        val times = topology.cellOthers.mapNotNull { vouchedAtMs[it] }.sortedDescending()
        return times.getOrNull(topology.vouchesNeeded - 1) ?: NEVER_MS
    }

    private fun Evidence?.isOlderThan(other: Evidence) =
        this == null || revision < other.revision || (revision == other.revision && asOfMs < other.asOfMs)

    private companion object {
        const val NEVER_MS = Long.MIN_VALUE / 2
    }
}
