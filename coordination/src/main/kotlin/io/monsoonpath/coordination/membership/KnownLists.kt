package io.monsoonpath.coordination.membership

import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Region
import java.util.TreeMap

/** The list in force and the older ones under which an instance may still have a right. */
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

    /** The revision below which every right has ended. */
    var settled = ListRevision.NONE
        private set

    /** The list in force, or null before the first one. */
    val newest: InstanceList? get() = lists.lastEntry()?.value?.list

    /** The revision of the list in force. */
    val newestRevision: ListRevision get() = newest?.revision ?: ListRevision.NONE

    /** The cell's members in the list in force; empty before the first one. */
    val newestCell: CellMembers get() = lists.lastEntry()?.value?.cell ?: EMPTY_CELL

    /** Adds [list] unless it is known or settled; returns whether it was added. */
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

    /** Returns the older lists that are not settled, oldest first. */
    fun unsettled(): List<CellMembers> = unsettled

    /** Returns the whole list with [revision] if it is kept. */
    fun find(revision: Long): InstanceList? = lists[revision]?.list

    /** Returns since when a newer list than [revision] has been known. */
    fun supersededSinceMs(revision: ListRevision): Long? = lists[revision.value]?.supersededAtMs

    /** Returns since when a quorum has confirmed a newer list than [revision]. */
    fun confirmedAtMs(revision: ListRevision): Long? = lists[revision.value]?.confirmedAtMs

    /** Notes that a quorum confirmed a newer list than [revision]. */
    fun markConfirmed(
        revision: ListRevision,
        nowMs: Long,
    ) {
        lists[revision.value]?.confirmedAtMs = nowMs
    }

    /** Settles the oldest lists as far as each was confirmed at [confirmedByMs] or before. */
    fun settleConfirmed(confirmedByMs: Long) {
        val open = lists.entries.firstOrNull { (_, it) -> it.confirmedAtMs.let { at -> at == null || at > confirmedByMs } }
        open?.let { settle(ListRevision(it.key)) }
    }

    /**
     * Takes a peer's word that every right under a revision below [revision] has ended; returns whether that was news.
     *
     * It counts only once the list with [revision] is known: an instance that knows no list of those still open would miss that others
     * have rights under them.
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

    /** Returns those of [revisions] that are neither known nor settled. */
    fun missing(revisions: List<Long>): List<Long> = revisions.filter { isMissing(it) }.distinct()

    /** Returns whether all lists that the answer in [view] rests on are known here. */
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
