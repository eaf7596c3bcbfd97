package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.ListStatusReply
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** The latest answer of a peer; [queriedAtMs] is this process's clock when it asked. */
internal class PeerView(
    val incarnation: Incarnation,
    val queriedAtMs: Long,
    val newest: Long,
    val unsettled: List<Long>,
    val recovering: Boolean,
)

/** The latest answers of all peers, and when each was asked last. */
internal class PeerViews {
    private val views = HashMap<InstanceId, PeerView>()
    private val lastQueriedMs = HashMap<InstanceId, Long>()

    /** Keeps [answer] unless a later question was answered before; returns whether it was kept. */
    fun record(
        from: PeerId,
        answer: ListStatusReply,
    ): Boolean {
        val before = views[from.id]
        if (before != null && before.queriedAtMs > answer.sentAtMs) return false
        views[from.id] = PeerView(from.incarnation, answer.sentAtMs, answer.newest, answer.unsettled, answer.isRecovering)
        return true
    }

    /** Counts the members of [list] other than [self] whose answer meets [condition]. */
    inline fun count(
        list: CellMembers,
        self: InstanceId,
        condition: (PeerView) -> Boolean,
    ): Int = list.members.count { it.id != self && matches(it.id, condition) }

    /** Returns whether [id] answered and the answer meets [condition]. */
    inline fun matches(
        id: InstanceId,
        condition: (PeerView) -> Boolean,
    ): Boolean = viewOf(id)?.let(condition) ?: false

    /** Returns when the [k]-th newest of the matching answers was asked for, or null if fewer match. */
    inline fun kthNewest(
        list: CellMembers,
        self: InstanceId,
        k: Int,
        condition: (PeerView) -> Boolean,
    ): Long? {
        val times = list.members.mapNotNull { member -> viewOf(member.id)?.takeIf { member.id != self && condition(it) }?.queriedAtMs }
        return if (times.size < k) null else times.sortedDescending()[k - 1]
    }

    /** Returns whether the last question to [id] is at least [retryMs] old. */
    fun isQueryDue(
        id: InstanceId,
        nowMs: Long,
        retryMs: Long,
    ): Boolean = lastQueriedMs[id].let { it == null || nowMs - it >= retryMs }

    /** Notes that [id] is being asked. */
    fun recordQuery(
        id: InstanceId,
        nowMs: Long,
    ) {
        lastQueriedMs[id] = nowMs
    }

    fun viewOf(id: InstanceId): PeerView? = views[id]
}
