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
 * Runs each request id of a workspace at most once within its time-to-live, over all instances.
 *
 * The request path asks with [claim], and gets an [Effect.ClaimDecided] with its token at once or later. It asks [mayUse] at the
 * send, then reports with [finish], or with [release] if nothing was sent. The class is for one thread.
 */
class Claims internal constructor(
    private val self: PeerId,
    private val timing: ClaimTiming,
    membership: MembershipTiming,
    startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    /** Creates the decision of the process [self], which started at [startedMs]. */
    constructor(self: PeerId, timing: ClaimTiming, membership: MembershipTiming, startedMs: Long) :
        this(self, timing, membership, startedMs, HolderSafeguards())

    private val replica = ClaimReplica(self, timing, membership, startedMs, safeguards)
    private val attempts = HashMap<Long, ClaimAttempt>()
    private val tokenByNumber = HashMap<Long, Long>()
    private val notices = ClaimNotices(timing)
    private var standing: MembershipSnapshot? = null
    private var nextNumber = 1L

    /** The number of claims that this process remembers as a replica. */
    val storedCount: Int get() = replica.size

    /** Whether a leaving process has handed over all it remembers and may stop. */
    val isHandedOver: Boolean get() = replica.isHandedOver

    /** Asks for the right to run [request] of [workspace]; the answer carries [token] and comes within [budgetMs]. */
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
        return deliver(nowMs) { it += sendAsks(nowMs, attempt) }
    }

    /** Returns whether the request of the granted claim [token] may be sent now. */
    fun mayUse(
        nowMs: Long,
        token: Long,
    ): Boolean {
        val attempt = attempts[token] ?: return false
        return attempt.isGranted && nowMs < attempt.startedMs + timing.useWithinMs && standing?.mayAct(nowMs) == true
    }

    /** Records how the request of [token] ended: [outcome] has at most 256 characters and is what a resend is told. */
    fun finish(
        nowMs: Long,
        token: Long,
        phase: ClaimPhase,
        outcome: String,
    ): List<Effect> {
        val attempt = removeAttempt(token) ?: return emptyList()
        return sendNotice(nowMs, attempt, ClaimFinish(attempt.key, attempt.id, phase, outcome))
    }

    /** Gives the claim of [token] back; only for a request of which certainly nothing was sent. */
    fun release(
        nowMs: Long,
        token: Long,
    ): List<Effect> {
        val attempt = removeAttempt(token) ?: return emptyList()
        return sendNotice(nowMs, attempt, ClaimRelease(attempt.key, attempt.id))
    }

    /** Takes a new snapshot of membership. */
    fun onStanding(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> {
        val isNewList = standing?.revision != next.revision
        standing = next
        return deliver(nowMs) { out ->
            out += replica.onStanding(nowMs, next)
            if (isNewList) attempts.values.filter { !it.isGranted }.forEach { out += sendAsks(nowMs, it) }
        }
    }

    /** Takes a message from a peer; messages of other concepts are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> = deliver(nowMs) { it += dispatch(nowMs, from, message) }

    /** Asks again where answers are missing; call it every 50 ms or so. */
    fun onTick(nowMs: Long): List<Effect> =
        deliver(nowMs) { out ->
            out += replica.onTick(nowMs)
            out += notices.dueRepeats(nowMs)
            for ((token, attempt) in attempts.entries.toList()) {
                if (attempt.isGranted) continue
                out += if (nowMs >= attempt.deadlineMs) giveUp(nowMs, token, attempt) else sendAsks(nowMs, attempt)
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

    private fun sendAsks(
        nowMs: Long,
        attempt: ClaimAttempt,
    ): List<Effect> {
        val standing = standing ?: return emptyList()
        if (nowMs < attempt.nextSendMs) return emptyList()
        attempt.nextSendMs = nowMs + timing.retryMs
        return standing
            .homesOf(attempt.key.resource(), CLAIM_REPLICAS)
            .filter { attempt.needsAnswerFrom(it, standing.revision.value) }
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
        val standing = standing ?: return emptyList()
        return when {
            attempt.hasQuorum() && standing.mayAct(nowMs) && nowMs < attempt.deadlineMs -> {
                attempt.isGranted = true
                listOf(Effect.ClaimDecided(token, ClaimOutcome.Granted(attempt.startedMs + timing.useWithinMs)))
            }
            attempt.isQuorumImpossible(standing.homesOf(attempt.key.resource(), CLAIM_REPLICAS)) -> giveUp(nowMs, token, attempt)
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
                standing?.mayAct(nowMs) != true -> ClaimOutcome.Refused(ClaimRefusal.NO_RIGHT)
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
        val replicas = standing?.homesOf(attempt.key.resource(), CLAIM_REPLICAS).orEmpty()
        return deliver(nowMs) { it += notices.send(nowMs, attempt.id, message, attempt.contactedReplicas + replicas) }
    }

    private fun deliver(
        nowMs: Long,
        step: (MutableList<Effect>) -> Unit,
    ): List<Effect> = deliverLocally(self.id, { dispatch(nowMs, self, it) }, step)
}
