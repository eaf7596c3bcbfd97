package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState
import java.util.TreeMap

/** The lists before the one in force under which others may have granted something that still lasts. */
internal class OlderLists {
    private class Entry(
        val cell: CellMembers,
        var settledMs: Long? = null,
    )

    private val lists = TreeMap<Long, Entry>()

    /** The lists, oldest first. */
    val cells: List<CellMembers> get() = lists.values.map { it.cell }

    /** The newest of the lists. */
    val latest: CellMembers? get() = lists.lastEntry()?.value?.cell

    fun isEmpty(): Boolean = lists.isEmpty()

    fun clear() = lists.clear()

    fun add(cell: CellMembers) {
        if (cell.revision.value > 0) lists.putIfAbsent(cell.revision.value, Entry(cell))
    }

    /** Drops the lists below [revision], because all that was granted under them has arrived here. */
    fun dropBelow(revision: Long) = lists.headMap(revision).clear()

    /** Drops each list once what was granted under it has lapsed: [waitMs] after its rights are known to have ended, or at once for 0. */
    fun expire(
        nowMs: Long,
        snapshot: MembershipSnapshot,
        waitMs: Long,
    ) {
        for ((revision, older) in lists) {
            if (revision < snapshot.settled.value && older.settledMs == null) older.settledMs = nowMs
        }
        lists.values.removeIf { older -> older.settledMs.let { it != null && nowMs >= it + waitMs } || waitMs == 0L }
    }

    /** Returns the former homes of [resource] that are not among [homes]. */
    fun formerHomes(
        resource: Resource,
        replicas: Int,
        homes: List<InstanceId>,
    ): Set<InstanceId> = lists.values.flatMapTo(HashSet()) { it.cell.homesOf(resource, replicas) } - homes.toSet()
}

/** The ids of the members that can be homes. */
internal fun CellMembers.liveIds(): Set<InstanceId> {
    val live = members.filter { it.state == MemberState.LIVE }.ifEmpty { members }
    return live.mapTo(LinkedHashSet(), Member::id)
}
