package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState
import java.util.TreeMap

/** The lists before the current one under which other instances may have issued grants that are still valid. */
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

    /** Drops the lists below [revision], because all grants under them have been handed over to this process. */
    fun dropBelow(revision: Long) = lists.headMap(revision).clear()

    /** Drops each list [waitMs] after its leases have ended, when all grants under it have expired; 0 drops all lists at once. */
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

    /** Returns the homes of [resource] under these lists, up to [replicas] per list, that are not among [homes]. */
    fun formerHomes(
        resource: Resource,
        replicas: Int,
        homes: List<InstanceId>,
    ): Set<InstanceId> = lists.values.flatMapTo(HashSet()) { it.cell.homesOf(resource, replicas) } - homes.toSet()
}

/** Returns the ids of the members that can be homes: the live ones, or all if none is live. */
internal fun CellMembers.liveIds(): Set<InstanceId> {
    val live = members.filter { it.state == MemberState.LIVE }.ifEmpty { members }
    return live.mapTo(LinkedHashSet(), Member::id)
}
