package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.model.InstanceId

/** The handover answers that have arrived under the list in force. */
internal class HandoverInbox {
    private class PartialAnswer(
        val uptimeMs: Long,
        val receivedParts: HashSet<Int> = HashSet(),
    )

    private val partialAnswers = HashMap<InstanceId, PartialAnswer>()
    private val peerStartMs = HashMap<InstanceId, Long>()
    private val completed = HashSet<InstanceId>()

    /** The members that have handed over everything. */
    val complete: Set<InstanceId> get() = completed

    /** Whether an answer named an earlier process of the own id. */
    var hasReportedPredecessor = false
        private set

    fun clear() {
        partialAnswers.clear()
        peerStartMs.clear()
        completed.clear()
        hasReportedPredecessor = false
    }

    /** Adds one part; the parts of one answer share the answerer's running time. */
    fun add(
        nowMs: Long,
        from: PeerId,
        answer: HandoverReply,
    ) {
        peerStartMs[from.id] = nowMs - answer.uptimeMs
        if (answer.hadPredecessor) hasReportedPredecessor = true
        if (!answer.isComplete) return
        val partial =
            partialAnswers[from.id]?.takeIf { it.uptimeMs == answer.uptimeMs }
                ?: PartialAnswer(answer.uptimeMs).also { partialAnswers[from.id] = it }
        partial.receivedParts += answer.partIndex
        if (partial.receivedParts.size == answer.partCount) completed += from.id
    }

    /** Returns how many of [members] answered and had been running at [sinceMs] already. */
    fun countRunningSince(
        nowMs: Long,
        sinceMs: Long,
        members: Set<InstanceId>,
    ): Int = peerStartMs.count { (id, at) -> id in members && at <= minOf(sinceMs, nowMs) }
}
