package io.monsoonpath.coordination.membership

import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Region
import java.util.TreeMap

/** Holds the current instance list and the older ones under which an instance may still hold a lease. */
internal class KnownLists(
    private val region: Region,
) {
    private class Entry(
        val list: InstanceList,
        val cell: CellMembers,
        var supersededAtMs: Long? = null,
        var confirmedAtMs: Long? = null,
    )

    private val lists = TreeMap<Long, Entry>()
    private var unsettled = emptyList<CellMembers>()
    private var reportedSettled = ListRevision.NONE

    /** The revision below which all leases have ended. */
    var settled = ListRevision.NONE
        private set

    /** The current list with the members of all regions, or null before the first one. */
    val newest: InstanceList? get() = lists.lastEntry()?.value?.list

    /** The revision of the current list, or [ListRevision.NONE] before the first one. */
    val newestRevision: ListRevision get() = newest?.revision ?: ListRevision.NONE

    /** The members of this process's region in the current list; empty before the first one. */
    val newestCell: CellMembers get() = lists.lastEntry()?.value?.cell ?: EMPTY_CELL

    /** Adds [list] unless it is already held or settled; returns whether it was added. */
    fun add(
        list: InstanceList,
        nowMs: Long,
    ): Boolean {
        val revision = list.revision.value
        if (revision in lists || (revision < settled.value && lists.isNotEmpty())) return false
        val entry = Entry(list, CellMembers(list.revision, list.members.filter { it.region == region }))
        if (lists.isNotEmpty() && revision < lists.lastKey()) entry.supersededAtMs = nowMs
        if (lists.isNotEmpty() && revision > lists.lastKey()) lists.lastEntry().value.supersededAtMs = nowMs
        lists[revision] = entry
        if (reportedSettled.value == revision) settle(reportedSettled)
        prune()
        return true
    }

    /** Returns the older lists under which leases may still be valid, oldest first. */
    fun unsettled(): List<CellMembers> = unsettled

    /** Returns the list with [revision] and the members of all regions, or null if it is not held. */
    fun find(revision: Long): InstanceList? = lists[revision]?.list

    /** Returns when a newer list than [revision] was first received, or null if none was or [revision] is not held. */
    fun supersededSinceMs(revision: ListRevision): Long? = lists[revision.value]?.supersededAtMs

    /** Returns when a quorum had confirmed a newer list than [revision], or null if none has. */
    fun confirmedAtMs(revision: ListRevision): Long? = lists[revision.value]?.confirmedAtMs

    /** Records that a quorum has confirmed a newer list than [revision]. */
    fun markConfirmed(
        revision: ListRevision,
        nowMs: Long,
    ) {
        lists[revision.value]?.confirmedAtMs = nowMs
    }

    /** Settles the oldest lists up to the first one that was not confirmed by [confirmedByMs]. */
    fun settleConfirmed(confirmedByMs: Long) {
        val open = lists.entries.firstOrNull { (_, it) -> it.confirmedAtMs.let { at -> at == null || at > confirmedByMs } }
        open?.let { settle(ListRevision(it.key)) }
    }

    /**
     * Applies a peer's report that all leases under revisions below [revision] have ended; returns whether more lists are settled now.
     *
     * The report takes effect only once the list with [revision] is held. An instance without any of the unsettled lists would not
     * detect that others hold leases under them.
     */
    fun settleReported(revision: ListRevision): Boolean {
        reportedSettled = maxOf(reportedSettled, revision)
        val before = settled
        if (reportedSettled.value in lists) settle(reportedSettled)
        return settled > before
    }

    private fun settle(revision: ListRevision) {
        if (revision <= settled) return
        settled = revision
        prune()
    }

    /** Returns those of [revisions] that are neither held nor settled. */
    fun missing(revisions: List<Long>): List<Long> = revisions.filter { isMissing(it) }.distinct()

    /** Returns whether all lists to which [view] refers are held or settled here. */
    fun hasAllListsOf(view: PeerView): Boolean = !isMissing(view.newest) && view.unsettled.none { isMissing(it) }

    private fun isMissing(revision: Long) = revision > 0 && revision >= settled.value && revision !in lists

    private fun prune() {
        while (lists.size > 1 && lists.firstKey() < settled.value) lists.pollFirstEntry()
        unsettled = lists.headMap(newestRevision.value).values.map { it.cell }
    }

    private companion object {
        val EMPTY_CELL = CellMembers(ListRevision.NONE, emptyList())
    }
}
