package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.model.InstanceId

/** Collects the handover answers received under the current list. */
internal class HandoverInbox {
    private class PartialAnswer(
        val uptimeMs: Long,
        val receivedParts: HashSet<Int> = HashSet(),
    )

    private val partialAnswers = HashMap<InstanceId, PartialAnswer>()
    private val peerStartMs = HashMap<InstanceId, Long>()
    private val completed = HashSet<InstanceId>()

    /** The members whose handover has arrived in all its parts. */
    val complete: Set<InstanceId> get() = completed

    /** Whether an answer reported that an earlier process of this instance id may have held resources. */
    var hasReportedPredecessor = false
        private set

    fun clear() {
        partialAnswers.clear()
        peerStartMs.clear()
        completed.clear()
        hasReportedPredecessor = false
    }

    /** Adds one part of an answer; the parts of one answer carry the same uptime of the sender. */
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

    /** Returns how many of [members] have answered and were already running at [sinceMs]. */
    fun countRunningSince(
        nowMs: Long,
        sinceMs: Long,
        members: Set<InstanceId>,
    ): Int = peerStartMs.count { (id, at) -> id in members && at <= minOf(sinceMs, nowMs) }
}
