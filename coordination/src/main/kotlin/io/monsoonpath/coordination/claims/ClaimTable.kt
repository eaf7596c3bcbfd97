package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.ClaimKey
import io.monsoonpath.coordination.message.ClaimPhase
import io.monsoonpath.coordination.message.ClaimRecord
import io.monsoonpath.coordination.message.ClaimVerdict
import io.monsoonpath.model.WorkspaceId
import java.util.PriorityQueue

/**
 * The claims that a replica stores.
 *
 * A record is kept until its time-to-live has passed: a full table refuses new claims and evicts none. Records that are merged from
 * another replica are always accepted, so the table can exceed its bound by their number.
 */
internal class ClaimTable(
    private val timing: ClaimTiming,
) {
    /**
     * The record of one key.
     *
     * @property isContested whether two claims on the key were merged, so that neither may be granted
     */
    class Entry(
        val id: GrantId,
        var phase: ClaimPhase,
        var outcome: String,
        val expiresMs: Long,
        var isContested: Boolean,
    )

    private class Expiry(
        val atMs: Long,
        val key: ClaimKey,
    )

    private val entries = HashMap<ClaimKey, Entry>()
    private val expiries = PriorityQueue<Expiry>(compareBy { it.atMs })
    private val countByWorkspace = HashMap<WorkspaceId, Int>()
    private val releasedUntilMs = LinkedHashMap<GrantId, Long>()

    /** The number of stored claims. */
    val size: Int get() = entries.size

    /** Returns the entry of [key], or null if the key is not claimed. */
    operator fun get(key: ClaimKey): Entry? = entries[key]

    /** Grants [key] to the claim [id] unless another claim holds the key or the table is full. Repeating a grant changes nothing. */
    fun grant(
        nowMs: Long,
        key: ClaimKey,
        id: GrantId,
    ): ClaimVerdict {
        expire(nowMs)
        val entry = entries[key]
        return when {
            entry != null && entry.id == id && !entry.isContested && entry.phase == ClaimPhase.RUNNING -> ClaimVerdict.GRANTED
            entry != null -> ClaimVerdict.HELD
            id in releasedUntilMs -> ClaimVerdict.ABSTAINED
            size >= timing.maxClaims || workspaceSize(key.workspace) >= timing.maxClaimsPerWorkspace -> ClaimVerdict.FULL
            else -> {
                put(key, Entry(id, ClaimPhase.RUNNING, "", nowMs + timing.retentionMs, isContested = false))
                ClaimVerdict.GRANTED
            }
        }
    }

    /** Records how the claim [id] ended, unless the same or a later phase is already recorded. The outcome is cut to 256 characters. */
    fun finish(
        key: ClaimKey,
        id: GrantId,
        phase: ClaimPhase,
        outcome: String,
    ) {
        val entry = entries[key] ?: return
        if (entry.id != id || entry.phase >= phase) return
        entry.phase = phase
        entry.outcome = outcome.take(MAX_OUTCOME_CHARS)
    }

    /** Removes the claim [id], whose request was not sent. A delayed message that requests the claim again is not granted. */
    fun release(
        nowMs: Long,
        key: ClaimKey,
        id: GrantId,
    ) {
        releasedUntilMs[id] = nowMs + timing.useWithinMs
        val entry = entries[key] ?: return
        if (entry.id == id && entry.phase == ClaimPhase.RUNNING && !entry.isContested) remove(key)
    }

    /** Adds a record of another replica. If two different claims on one key meet, the key is contested and neither is granted again. */
    fun merge(
        nowMs: Long,
        record: ClaimRecord,
    ) {
        val entry = entries[record.key]
        if (entry == null) {
            put(record.key, Entry(record.id, record.phase, record.outcome, nowMs + record.remainingMs, record.isContested))
            return
        }
        val isOther = entry.id != record.id
        if (record.phase > entry.phase) {
            entry.phase = record.phase
            entry.outcome = record.outcome
        }
        if (isOther || record.isContested) entry.isContested = true
    }

    /** Returns the records whose key satisfies [isChosen]. */
    fun records(
        nowMs: Long,
        isChosen: (ClaimKey) -> Boolean,
    ): List<ClaimRecord> {
        expire(nowMs)
        return entries.filterKeys(isChosen).map { (key, entry) ->
            ClaimRecord(key, entry.id, entry.phase, entry.outcome, entry.expiresMs - nowMs, entry.isContested)
        }
    }

    /** Removes the records whose time-to-live has passed at [nowMs]. */
    fun expire(nowMs: Long) {
        while (releasedUntilMs.isNotEmpty() && releasedUntilMs.values.first() <= nowMs) releasedUntilMs.remove(releasedUntilMs.keys.first())
        while (expiries.isNotEmpty() && expiries.peek().atMs <= nowMs) {
            val expiry = expiries.poll()
            val entry = entries[expiry.key]
            if (entry != null && entry.expiresMs <= nowMs) remove(expiry.key)
        }
    }

    private fun put(
        key: ClaimKey,
        entry: Entry,
    ) {
        entries[key] = entry
        expiries += Expiry(entry.expiresMs, key)
        countByWorkspace.merge(key.workspace, 1, Int::plus)
    }

    private fun remove(key: ClaimKey) {
        entries.remove(key)
        countByWorkspace.computeIfPresent(key.workspace) { _, n -> if (n == 1) null else n - 1 }
    }

    private fun workspaceSize(workspace: WorkspaceId) = countByWorkspace[workspace] ?: 0

    private companion object {
        const val MAX_OUTCOME_CHARS = 256
    }
}
