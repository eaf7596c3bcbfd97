package io.monsoonpath.coordination.claims

import io.monsoonpath.coordination.ClaimOutcome
import io.monsoonpath.coordination.ClaimRefusal
import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.deliverLocally
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.message.ClaimAck
import io.monsoonpath.coordination.message.ClaimFinish
import io.monsoonpath.coordination.message.ClaimKey
import io.monsoonpath.coordination.message.ClaimPhase
import io.monsoonpath.coordination.message.ClaimRelease
import io.monsoonpath.coordination.message.ClaimReply
import io.monsoonpath.coordination.message.ClaimRequest
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId

/**
 * Ensures that each request id of a workspace runs at most once over all instances within its time-to-live.
 *
 * The request path calls [claim] and receives [Effect.ClaimDecided] with the same token, immediately or later. Directly before it
 * sends the request it checks [mayUse]. Afterwards it calls [finish], or [release] if nothing was sent.
 *
 * This class is not thread-safe.
 */
class Claims internal constructor(
    private val self: PeerId,
    private val timing: ClaimTiming,
    membership: MembershipTiming,
    startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    /** Creates the claims of the process [self], which started at [startedMs]. */
    constructor(self: PeerId, timing: ClaimTiming, membership: MembershipTiming, startedMs: Long) :
        this(self, timing, membership, startedMs, HolderSafeguards())

    private val replica = ClaimReplica(self, timing, membership, startedMs, safeguards)
    private val attempts = HashMap<Long, ClaimAttempt>()
    private val tokenByNumber = HashMap<Long, Long>()
    private val notices = ClaimNotices(timing)
    private var snapshot: MembershipSnapshot? = null
    private var nextNumber = 1L

    /** The number of claims that this process stores as a replica. */
    val storedCount: Int get() = replica.size

    /** Whether this process has handed over all stored claims, so that it may stop if it is leaving. */
    val isHandedOver: Boolean get() = replica.isHandedOver

    /**
     * Requests the claim on [request] of [workspace].
     *
     * The result is an [Effect.ClaimDecided] with [token], at the latest at the first tick after [budgetMs] or
     * [ClaimTiming.useWithinMs], whichever is less.
     *
     * @throws IllegalArgumentException if [token] belongs to a claim that has not ended
     */
    fun claim(
        nowMs: Long,
        token: Long,
        workspace: WorkspaceId,
        request: RequestId,
        budgetMs: Long,
    ): List<Effect> {
        require(token !in attempts) { "token is in use: $token" }
        val id = GrantId(self.id, self.incarnation, nextNumber++)
        val attempt =
            ClaimAttempt(id, ClaimKey(workspace, request), nowMs, nowMs + minOf(budgetMs, timing.useWithinMs), safeguards.claimQuorum)
        attempts[token] = attempt
        tokenByNumber[id.number] = token
        return deliver(nowMs) { it += sendRequests(nowMs, attempt) }
    }

    /** Returns whether the claim [token] is granted and its request may be sent at [nowMs]. */
    fun mayUse(
        nowMs: Long,
        token: Long,
    ): Boolean {
        val attempt = attempts[token] ?: return false
        return attempt.isGranted && nowMs < attempt.startedMs + timing.useWithinMs && snapshot?.mayAct(nowMs) == true
    }

    /** Records how the request of [token] ended. Callers that repeat the request receive [outcome], cut to 256 characters. */
    fun finish(
        nowMs: Long,
        token: Long,
        phase: ClaimPhase,
        outcome: String,
    ): List<Effect> {
        val attempt = removeAttempt(token) ?: return emptyList()
        return sendNotice(nowMs, attempt, ClaimFinish(attempt.key, attempt.id, phase, outcome))
    }

    /** Releases the claim [token]. Only allowed if it is certain that nothing of the request was sent. */
    fun release(
        nowMs: Long,
        token: Long,
    ): List<Effect> {
        val attempt = removeAttempt(token) ?: return emptyList()
        return sendNotice(nowMs, attempt, ClaimRelease(attempt.key, attempt.id))
    }

    /** Applies a new snapshot of the membership. */
    fun onStanding(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> {
        val isNewList = snapshot?.revision != next.revision
        snapshot = next
        return deliver(nowMs) { out ->
            out += replica.onMembershipChange(nowMs, next)
            if (isNewList) attempts.values.filter { !it.isGranted }.forEach { out += sendRequests(nowMs, it) }
        }
    }

    /** Handles a message from a peer. Messages that do not concern claims are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> = deliver(nowMs) { it += dispatch(nowMs, from, message) }

    /** Repeats unanswered messages and gives up claims whose deadline has passed. Call it about every 50 ms. */
    fun onTick(nowMs: Long): List<Effect> =
        deliver(nowMs) { out ->
            out += replica.onTick(nowMs)
            out += notices.dueRepeats(nowMs)
            for ((token, attempt) in attempts.entries.toList()) {
                if (attempt.isGranted) continue
                out += if (nowMs >= attempt.deadlineMs) giveUp(nowMs, token, attempt) else sendRequests(nowMs, attempt)
            }
        }

    private fun dispatch(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when (message) {
            is ClaimReply -> onAnswer(nowMs, from, message)
            is ClaimAck -> emptyList<Effect>().also { notices.onAck(from.id, message.id) }
            else -> replica.onMessage(nowMs, from, message)
        }

    private fun sendRequests(
        nowMs: Long,
        attempt: ClaimAttempt,
    ): List<Effect> {
        val snapshot = snapshot ?: return emptyList()
        if (nowMs < attempt.nextSendMs) return emptyList()
        attempt.nextSendMs = nowMs + timing.retryMs
        return snapshot
            .homesOf(attempt.key.resource(), CLAIM_REPLICAS)
            .filter { attempt.needsAnswerFrom(it, snapshot.revision.value) }
            .map {
                attempt.markContacted(it)
                Effect.Send(it, ClaimRequest(attempt.key, attempt.id))
            }
    }

    private fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: ClaimReply,
    ): List<Effect> {
        if (answer.id.incarnation != self.incarnation) return emptyList()
        val token = tokenByNumber[answer.id.number]
        val attempt = attempts[token] ?: return emptyList()
        if (token == null || attempt.isGranted) return emptyList()
        attempt.record(from.id, answer)
        return decide(nowMs, token, attempt)
    }

    private fun decide(
        nowMs: Long,
        token: Long,
        attempt: ClaimAttempt,
    ): List<Effect> {
        val snapshot = snapshot ?: return emptyList()
        return when {
            attempt.hasQuorum() && snapshot.mayAct(nowMs) && nowMs < attempt.deadlineMs -> {
                attempt.isGranted = true
                listOf(Effect.ClaimDecided(token, ClaimOutcome.Granted(attempt.startedMs + timing.useWithinMs)))
            }
            attempt.isQuorumImpossible(snapshot.homesOf(attempt.key.resource(), CLAIM_REPLICAS)) -> giveUp(nowMs, token, attempt)
            else -> emptyList()
        }
    }

    private fun giveUp(
        nowMs: Long,
        token: Long,
        attempt: ClaimAttempt,
    ): List<Effect> {
        val conflict = attempt.conflict()
        val outcome =
            when {
                conflict != null -> ClaimOutcome.Duplicate(conflict.phase, conflict.outcome)
                attempt.isFull() -> ClaimOutcome.Refused(ClaimRefusal.FULL)
                snapshot?.mayAct(nowMs) != true -> ClaimOutcome.Refused(ClaimRefusal.NO_RIGHT)
                else -> ClaimOutcome.Refused(ClaimRefusal.UNREACHABLE)
            }
        return release(nowMs, token) + Effect.ClaimDecided(token, outcome)
    }

    private fun removeAttempt(token: Long): ClaimAttempt? = attempts.remove(token)?.also { tokenByNumber.remove(it.id.number) }

    private fun sendNotice(
        nowMs: Long,
        attempt: ClaimAttempt,
        message: PeerMessage,
    ): List<Effect> {
        val replicas = snapshot?.homesOf(attempt.key.resource(), CLAIM_REPLICAS).orEmpty()
        return deliver(nowMs) { it += notices.send(nowMs, attempt.id, message, attempt.contactedReplicas + replicas) }
    }

    private fun deliver(
        nowMs: Long,
        step: (MutableList<Effect>) -> Unit,
    ): List<Effect> = deliverLocally(self.id, { dispatch(nowMs, self, it) }, step)
}
