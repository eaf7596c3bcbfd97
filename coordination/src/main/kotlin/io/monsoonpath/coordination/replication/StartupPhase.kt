package io.monsoonpath.coordination.replication

import io.monsoonpath.model.InstanceId

/** The time after a start in which a process asks peers before it trusts what the platform serves. */
internal class Startup(
    private val graceMs: Long,
) {
    private val answered = HashSet<InstanceId>()
    private var listKnownMs: Long? = null
    private var peersNeeded = 0

    /** Notes that a list with [others] other members is known. */
    fun noteList(
        nowMs: Long,
        others: Int,
    ) {
        if (listKnownMs == null) listKnownMs = nowMs
        peersNeeded = minOf(PEERS, others)
    }

    /** Notes that [from] answered. */
    fun noteAnswer(from: InstanceId) {
        answered += from
    }

    /** Returns whether enough peers answered, or none can be waited for any longer. */
    fun isOver(nowMs: Long): Boolean = listKnownMs?.let { answered.size >= peersNeeded || nowMs - it >= graceMs } ?: false

    private companion object {
        const val PEERS = 3
    }
}
