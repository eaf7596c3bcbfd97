package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId

/** Repeats the notices of ended claims until their holders have confirmed them. */
internal class ClaimNotices(
    private val timing: ClaimTiming,
) {
    private class Notice(
        val message: PeerMessage,
        val missing: MutableSet<InstanceId>,
        var nextMs: Long,
        var sendsLeft: Int,
    )

    private val notices = LinkedHashMap<GrantId, Notice>()

    fun send(
        nowMs: Long,
        id: GrantId,
        message: PeerMessage,
        to: Set<InstanceId>,
    ): List<Effect> {
        if (to.isEmpty()) return emptyList()
        notices[id] = Notice(message, HashSet(to), nowMs + FIRST_REPEAT_RETRIES * timing.retryMs, REPEATS)
        return to.map { Effect.Send(it, message) }
    }

    fun onAck(
        from: InstanceId,
        id: GrantId,
    ) {
        val notice = notices[id] ?: return
        notice.missing -= from
        if (notice.missing.isEmpty()) notices.remove(id)
    }

    /** Returns the notices to repeat now. */
    fun due(nowMs: Long): List<Effect> {
        val out = ArrayList<Effect>()
        notices.values.removeIf { it.sendsLeft == 0 }
        for (notice in notices.values) {
            if (nowMs < notice.nextMs) continue
            notice.sendsLeft--
            notice.nextMs = nowMs + (FIRST_REPEAT_RETRIES shl (REPEATS - notice.sendsLeft)) * timing.retryMs
            notice.missing.sorted().mapTo(out) { Effect.Send(it, notice.message) }
        }
        return out
    }

    private companion object {
        const val FIRST_REPEAT_RETRIES = 3
        const val REPEATS = 5
    }
}
