package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId

/**
 * Sends the notices of finished and released claims to the replicas and repeats them until they are acknowledged.
 *
 * A notice is repeated at most [MAX_REPEATS] times, with exponential backoff.
 */
internal class ClaimNotices(
    private val timing: ClaimTiming,
) {
    private class Notice(
        val message: PeerMessage,
        val unacknowledged: MutableSet<InstanceId>,
        var nextSendMs: Long,
        var repeatsLeft: Int,
    )

    private val notices = LinkedHashMap<GrantId, Notice>()

    /** Sends [message] about the claim [id] to the replicas [to] and schedules its repeats. */
    fun send(
        nowMs: Long,
        id: GrantId,
        message: PeerMessage,
        to: Set<InstanceId>,
    ): List<Effect> {
        if (to.isEmpty()) return emptyList()
        notices[id] = Notice(message, HashSet(to), nowMs + FIRST_REPEAT_INTERVALS * timing.retryMs, MAX_REPEATS)
        return to.map { Effect.Send(it, message) }
    }

    /** Stops repeating the notice of the claim [id] to the replica [from]. */
    fun onAck(
        from: InstanceId,
        id: GrantId,
    ) {
        val notice = notices[id] ?: return
        notice.unacknowledged -= from
        if (notice.unacknowledged.isEmpty()) notices.remove(id)
    }

    /** Returns the notices that are due to be repeated at [nowMs]. */
    fun dueRepeats(nowMs: Long): List<Effect> {
        val out = ArrayList<Effect>()
        notices.values.removeIf { it.repeatsLeft == 0 }
        for (notice in notices.values) {
            if (nowMs < notice.nextSendMs) continue
            notice.repeatsLeft--
            notice.nextSendMs = nowMs + (FIRST_REPEAT_INTERVALS shl (MAX_REPEATS - notice.repeatsLeft)) * timing.retryMs
            notice.unacknowledged.sorted().mapTo(out) { Effect.Send(it, notice.message) }
        }
        return out
    }

    private companion object {
        const val FIRST_REPEAT_INTERVALS = 3
        const val MAX_REPEATS = 5
    }
}
