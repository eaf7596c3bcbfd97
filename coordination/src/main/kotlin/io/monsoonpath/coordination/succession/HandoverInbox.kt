package io.monsoonpath.coordination.succession

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.HandoverAnswer
import io.monsoonpath.model.InstanceId

/** The handover answers that have arrived under the list in force. */
internal class HandoverInbox {
    private class Parts(
        val memoryMs: Long,
        val seen: HashSet<Int> = HashSet(),
    )

    private val parts = HashMap<InstanceId, Parts>()
    private val startedMs = HashMap<InstanceId, Long>()
    private val whole = HashSet<InstanceId>()

    /** The members that have handed over everything. */
    val complete: Set<InstanceId> get() = whole

    /** Whether an answer named an earlier process of the own id. */
    var isIncumbent = false
        private set

    fun clear() {
        parts.clear()
        startedMs.clear()
        whole.clear()
        isIncumbent = false
    }

    /** Adds one part; the parts of one answer share the answerer's running time. */
    fun add(
        nowMs: Long,
        from: PeerId,
        answer: HandoverAnswer,
    ) {
        startedMs[from.id] = nowMs - answer.memoryMs
        if (answer.isIncumbent) isIncumbent = true
        if (!answer.isWhole) return
        val known = parts[from.id]?.takeIf { it.memoryMs == answer.memoryMs } ?: Parts(answer.memoryMs).also { parts[from.id] = it }
        known.seen += answer.part
        if (known.seen.size == answer.parts) whole += from.id
    }

    /** Returns how many of [members] answered and had been running at [sinceMs] already. */
    fun countRunningSince(
        nowMs: Long,
        sinceMs: Long,
        members: Set<InstanceId>,
    ): Int = startedMs.count { (id, at) -> id in members && at <= minOf(sinceMs, nowMs) }
}
