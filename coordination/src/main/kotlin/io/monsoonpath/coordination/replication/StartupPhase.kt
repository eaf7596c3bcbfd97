package io.monsoonpath.coordination.replication

import io.monsoonpath.model.InstanceId

/** The time after a start in which a process asks peers before it trusts what the platform serves. */
internal class StartupPhase(
    private val graceMs: Long,
) {
    private val repliedPeers = HashSet<InstanceId>()
    private var listReceivedMs: Long? = null
    private var peersNeeded = 0

    /** Notes that a list with [otherCount] other members is known. */
    fun recordList(
        nowMs: Long,
        otherCount: Int,
    ) {
        if (listReceivedMs == null) listReceivedMs = nowMs
        peersNeeded = minOf(MAX_PEERS_NEEDED, otherCount)
    }

    /** Notes that [from] repliedPeers. */
    fun recordReply(from: InstanceId) {
        repliedPeers += from
    }

    /** Returns whether enough peers repliedPeers, or none can be waited for any longer. */
    fun isOver(nowMs: Long): Boolean = listReceivedMs?.let { repliedPeers.size >= peersNeeded || nowMs - it >= graceMs } ?: false

    private companion object {
        const val MAX_PEERS_NEEDED = 3
    }
}
