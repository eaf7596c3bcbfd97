package io.monsoonpath.coordination.replication

import io.monsoonpath.model.InstanceId

/** The phase after a start in which a process queries peers first, because the platform may serve stale data. */
internal class StartupPhase(
    private val graceMs: Long,
) {
    private val repliedPeers = HashSet<InstanceId>()
    private var listReceivedMs: Long? = null
    private var peersNeeded = 0

    /** Records that an instance list with [otherCount] other members is available. */
    fun recordList(
        nowMs: Long,
        otherCount: Int,
    ) {
        if (listReceivedMs == null) listReceivedMs = nowMs
        peersNeeded = minOf(MAX_PEERS_NEEDED, otherCount)
    }

    /** Records that [from] replied. */
    fun recordReply(from: InstanceId) {
        repliedPeers += from
    }

    /** Returns whether enough peers replied or the grace period has ended. Always false before the first list. */
    fun isOver(nowMs: Long): Boolean = listReceivedMs?.let { repliedPeers.size >= peersNeeded || nowMs - it >= graceMs } ?: false

    private companion object {
        const val MAX_PEERS_NEEDED = 3
    }
}
