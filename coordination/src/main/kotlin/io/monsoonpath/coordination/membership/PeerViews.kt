package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.ListStatusReply
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** The latest answer of a peer; [queriedAtMs] is when the query was sent, on this process's clock. */
internal class PeerView(
    val incarnation: Incarnation,
    val queriedAtMs: Long,
    val newest: Long,
    val unsettled: List<Long>,
    val recovering: Boolean,
)

/** Holds the latest answer of each peer and the time of the last query to it. */
internal class PeerViews {
    private val views = HashMap<InstanceId, PeerView>()
    private val lastQueriedMs = HashMap<InstanceId, Long>()

    /** Stores [answer] unless a later query has already been answered; returns whether it was stored. */
    fun record(
        from: PeerId,
        answer: ListStatusReply,
    ): Boolean {
        val before = views[from.id]
        if (before != null && before.queriedAtMs > answer.sentAtMs) return false
        views[from.id] = PeerView(from.incarnation, answer.sentAtMs, answer.newest, answer.unsettled, answer.isRecovering)
        return true
    }

    /** Counts the members of [list] other than [self] whose answers match [condition]. */
    inline fun count(
        list: CellMembers,
        self: InstanceId,
        condition: (PeerView) -> Boolean,
    ): Int = list.members.count { it.id != self && matches(it.id, condition) }

    /** Returns whether [id] has answered and its answer matches [condition]. */
    inline fun matches(
        id: InstanceId,
        condition: (PeerView) -> Boolean,
    ): Boolean = viewOf(id)?.let(condition) ?: false

    /** Returns when the query of the [k]-th newest matching answer was sent, or null if fewer match. */
    inline fun kthNewest(
        list: CellMembers,
        self: InstanceId,
        k: Int,
        condition: (PeerView) -> Boolean,
    ): Long? {
        val times = list.members.mapNotNull { member -> viewOf(member.id)?.takeIf { member.id != self && condition(it) }?.queriedAtMs }
        return if (times.size < k) null else times.sortedDescending()[k - 1]
    }

    /** Returns whether [id] has not been queried in the last [retryMs] milliseconds. */
    fun isQueryDue(
        id: InstanceId,
        nowMs: Long,
        retryMs: Long,
    ): Boolean = lastQueriedMs[id].let { it == null || nowMs - it >= retryMs }

    /** Records that a query is sent to [id]. */
    fun recordQuery(
        id: InstanceId,
        nowMs: Long,
    ) {
        lastQueriedMs[id] = nowMs
    }

    fun viewOf(id: InstanceId): PeerView? = views[id]
}
