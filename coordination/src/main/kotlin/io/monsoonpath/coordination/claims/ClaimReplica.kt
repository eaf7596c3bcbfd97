package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.message.ClaimAck
import io.monsoonpath.coordination.message.ClaimFinish
import io.monsoonpath.coordination.message.ClaimRecord
import io.monsoonpath.coordination.message.ClaimRelease
import io.monsoonpath.coordination.message.ClaimReply
import io.monsoonpath.coordination.message.ClaimRequest
import io.monsoonpath.coordination.message.ClaimVerdict
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.coordination.message.HandoverRequest
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.ownership.ResourceOwnership

/**
 * Stores the claims of the keys that this process owns and answers the requests for them.
 *
 * Records move to the new owner when the instance list changes.
 */
internal class ClaimReplica(
    self: PeerId,
    timing: ClaimTiming,
    membership: MembershipTiming,
    startedMs: Long,
    safeguards: HolderSafeguards,
) {
    private val selfId = self.id
    private val table = ClaimTable(timing)
    private val ownership =
        ResourceOwnership(HandoverKind.CLAIMS, self, CLAIM_REPLICAS, timing.retentionMs, membership.expiryWaitMs, startedMs, safeguards)

    val size: Int get() = table.size
    val isHandedOver: Boolean get() = ownership.isHandedOver()

    fun onMembershipChange(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> = ownership.onMembershipChange(nowMs, next)

    fun onTick(nowMs: Long): List<Effect> {
        table.expire(nowMs)
        return ownership.onTick(nowMs)
    }

    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when (message) {
            is ClaimRequest -> listOf(Effect.Send(from.id, answerRequest(nowMs, message)))
            is ClaimFinish -> {
                table.finish(message.key, message.id, message.phase, message.outcome)
                listOf(Effect.Send(from.id, ClaimAck(message.id)))
            }
            is ClaimRelease -> {
                table.release(nowMs, message.key, message.id)
                listOf(Effect.Send(from.id, ClaimAck(message.id)))
            }
            is HandoverRequest -> if (message.kind == HandoverKind.CLAIMS) sendHandover(nowMs, from, message) else emptyList()
            is HandoverReply -> if (message.kind == HandoverKind.CLAIMS) receiveHandover(nowMs, from, message) else emptyList()
            else -> emptyList()
        }

    private fun answerRequest(
        nowMs: Long,
        request: ClaimRequest,
    ): ClaimReply {
        val snapshot = ownership.current ?: return ClaimReply(request.id, ClaimVerdict.ABSTAINED, 0, 0)
        val resource = request.key.resource()
        val replicas = snapshot.homesOf(resource, CLAIM_REPLICAS)
        table.expire(nowMs)
        val existing = table[request.key]
        val verdict =
            when {
                existing != null && existing.id != request.id -> ClaimVerdict.HELD
                selfId !in replicas || !ownership.owns(resource, nowMs) -> ClaimVerdict.ABSTAINED
                else -> table.grant(nowMs, request.key, request.id)
            }
        val answer = ClaimReply(request.id, verdict, snapshot.revision.value, replicas.size)
        val entry = table[request.key]
        return if (verdict == ClaimVerdict.HELD && entry != null) answer.copy(phase = entry.phase, outcome = entry.outcome) else answer
    }

    private fun sendHandover(
        nowMs: Long,
        from: PeerId,
        request: HandoverRequest,
    ): List<Effect> {
        val header = ownership.answer(nowMs, from, request) ?: return emptyList()
        val cell = checkNotNull(ownership.current) { "answered without a list" }.cell
        val chunks = table.records(nowMs) { from.id in cell.homesOf(it.resource(), CLAIM_REPLICAS) }.chunked(RECORDS_PER_MESSAGE)
        if (chunks.isEmpty()) return listOf(Effect.Send(from.id, header))
        return chunks.mapIndexed { i, records ->
            Effect.Send(from.id, header.copy(claims = records, partIndex = i, partCount = chunks.size))
        }
    }

    private fun receiveHandover(
        nowMs: Long,
        from: PeerId,
        answer: HandoverReply,
    ): List<Effect> {
        val records: List<ClaimRecord> = answer.claims
        if (ownership.onAnswer(nowMs, from, answer)) records.forEach { table.merge(nowMs, it) }
        return ownership.onTick(nowMs)
    }

    private companion object {
        const val RECORDS_PER_MESSAGE = 200
    }
}
