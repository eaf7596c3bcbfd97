package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.PermitOutcome
import io.monsoonpath.coordination.PermitRefusal
import io.monsoonpath.coordination.deliverLocally
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.ColdStartNotice
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.coordination.message.HandoverRequest
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.PermitRelease
import io.monsoonpath.coordination.message.PermitReply
import io.monsoonpath.coordination.message.PermitRequest
import io.monsoonpath.coordination.message.PermitVerdict
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.InstanceId

/**
 * Limits the concurrent requests of all instances to a backend server that is warming up after a cold start.
 *
 * If [isWarm] returns false, the request path calls [acquire] for one request on one run of the server and receives an
 * [Effect.PermitDecided] with its token, at once or later. It checks [mayUse] immediately before sending. It calls [finish] only when the
 * request has certainly ended, or [abandon] if the request may still be running, so that the permit expires at its home.
 *
 * This class isn't thread-safe.
 */
class Permits internal constructor(
    private val self: PeerId,
    private val kind: HandoverKind,
    private val timing: PermitTiming,
    membership: MembershipTiming,
    startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    /**
     * Creates the permits of the process [self], which started at [startedMs].
     *
     * @throws IllegalArgumentException if [kind] is neither [HandoverKind.PERMITS], for requests, nor [HandoverKind.LOADS], for loads from
     * the weight store
     */
    constructor(self: PeerId, kind: HandoverKind, timing: PermitTiming, membership: MembershipTiming, startedMs: Long) :
        this(self, kind, timing, membership, startedMs, HolderSafeguards())

    init {
        require(kind == HandoverKind.PERMITS || kind == HandoverKind.LOADS) { "kind must be PERMITS or LOADS: $kind" }
    }

    private val issuer = PermitIssuer(self, kind, timing, membership, startedMs, safeguards)
    private val attempts = HashMap<Long, PermitAttempt>()
    private val tokens = HashMap<Long, Long>()
    private val warmRuns = HashMap<BackendId, RunId>()
    private val coldRuns = HashMap<BackendId, RunId>()
    private var limits = emptyMap<BackendId, PermitLimits>()
    private var snapshot: MembershipSnapshot? = null
    private var nextNumber = 1L

    /** The number of backend servers for which this process keeps permit state as their home. */
    val trackedBackends: Int get() = issuer.size

    /** Whether this leaving process has handed over all permits that it granted and may stop. */
    val isHandedOver: Boolean get() = issuer.isHandedOver

    /** Replaces the limits of all backend servers with those of the current configuration. */
    fun updateLimits(next: Map<BackendId, PermitLimits>) {
        limits = next
        issuer.updateLimits(next)
        warmRuns.keys.retainAll(next.keys)
        coldRuns.keys.retainAll(next.keys)
    }

    /** Returns whether requests on a connection to [run] of [backend] need no permit. */
    fun isWarm(
        backend: BackendId,
        run: RunId,
    ): Boolean = warmRuns[backend] == run

    /** Records a cold start of [backend] with [run]; the first report of each run is sent to all peers. */
    fun reportColdStart(
        backend: BackendId,
        run: RunId,
    ): List<Effect> {
        if (coldRuns.put(backend, run) == run) return emptyList()
        resetRun(backend, run)
        val peers = snapshot?.cell?.members.orEmpty()
        return peers.filter { it.id != self.id }.map { Effect.Send(it.id, ColdStartNotice(backend, run)) }
    }

    private fun resetRun(
        backend: BackendId,
        run: RunId,
    ) {
        warmRuns.remove(backend)
        issuer.onColdStart(backend, run)
    }

    /**
     * Requests a permit for a request that ends within [budgetMs].
     *
     * The home may queue the permit request for up to [waitMs]. The budget is capped at [PermitTiming.maxBudgetMs], and the wait at the
     * time for which the permit can be used.
     *
     * @throws IllegalArgumentException if [token] is in use
     */
    fun acquire(
        nowMs: Long,
        token: Long,
        backend: BackendId,
        run: RunId,
        budgetMs: Long,
        waitMs: Long,
    ): List<Effect> {
        require(token !in attempts) { "token $token is already in use" }
        val maxStartDelayMs = if (limits[backend]?.startsPerWindow != null) timing.startWithinMs else Long.MAX_VALUE
        val boundedBudgetMs = minOf(budgetMs, timing.maxBudgetMs)
        val usableMs = minOf(boundedBudgetMs, maxStartDelayMs)
        val attempt =
            PermitAttempt(
                GrantId(self.id, self.incarnation, nextNumber++),
                backend,
                run,
                nowMs,
                boundedBudgetMs,
                minOf(waitMs, usableMs),
                nowMs + usableMs,
            )
        attempts[token] = attempt
        tokens[attempt.id.number] = token
        return deliver(nowMs) { it += sendAsk(nowMs, attempt) }
    }

    /** Returns whether the permit [token] is granted and its request may be sent now on a connection to [run]. */
    fun mayUse(
        nowMs: Long,
        token: Long,
        run: RunId,
    ): Boolean {
        val attempt = attempts[token] ?: return false
        return attempt.isGranted && attempt.run == run && nowMs < attempt.useUntilMs && snapshot?.mayAct(nowMs) == true
    }

    /**
     * Releases the permit [token], whose request has certainly ended or was never sent.
     *
     * @param isCompleted whether the request received its complete response
     */
    fun finish(
        nowMs: Long,
        token: Long,
        isCompleted: Boolean,
    ): List<Effect> {
        val attempt = forget(token) ?: return emptyList()
        return deliver(nowMs) { it += release(attempt, isCompleted) }
    }

    /** Discards [token] without releasing its permit, because the request may still be running; the permit expires at its home. */
    fun abandon(
        nowMs: Long,
        token: Long,
    ): List<Effect> {
        if (!safeguards.permitOutlivesTimeout) return finish(nowMs, token, isCompleted = false)
        forget(token)
        return emptyList()
    }

    /** Applies the membership snapshot [next]; a new list makes undecided requests go to the new home at once. */
    fun onMembershipChange(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> {
        val isNewList = snapshot?.revision != next.revision
        snapshot = next
        return deliver(nowMs) { out ->
            out += issuer.onMembershipChange(nowMs, next)
            if (!isNewList) return@deliver
            attempts.values.filter { !it.isGranted }.forEach {
                it.redirect = null
                it.nextSendMs = nowMs
                out += sendAsk(nowMs, it)
            }
        }
    }

    /** Handles a message from a peer; messages about anything other than permits of this kind are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> = deliver(nowMs) { it += handle(nowMs, from, message) }

    /** Resends unanswered requests and refuses those that timed out; to be called about every 50 ms. */
    fun onTick(nowMs: Long): List<Effect> =
        deliver(nowMs) { out ->
            out += issuer.onTick(nowMs)
            for ((token, attempt) in attempts.entries.toList()) {
                if (attempt.isGranted) continue
                out += if (nowMs >= attempt.timeoutAtMs(timing)) refuse(nowMs, token, attempt) else sendAsk(nowMs, attempt)
            }
        }

    private fun handle(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when (message) {
            is PermitRequest -> if (message.kind == kind) issuer.onAsk(nowMs, from, message) else emptyList()
            is PermitReply -> if (message.kind == kind) onAnswer(nowMs, from, message) else emptyList()
            is PermitRelease -> if (message.kind == kind) issuer.onDone(nowMs, from, message) else emptyList()
            is ColdStartNotice -> emptyList<Effect>().also { resetRun(message.backend, message.run) }
            is HandoverRequest -> if (message.kind == kind) issuer.onHandoverAsk(nowMs, from, message) else emptyList()
            is HandoverReply -> if (message.kind == kind) issuer.onHandoverAnswer(nowMs, from, message) else emptyList()
            else -> emptyList()
        }

    private fun sendAsk(
        nowMs: Long,
        attempt: PermitAttempt,
    ): List<Effect> {
        if (nowMs < attempt.nextSendMs) return emptyList()
        val to = attempt.redirect ?: snapshot?.homeOf(resourceOf(kind.name, attempt.backend.value)) ?: return emptyList()
        attempt.nextSendMs = nowMs + timing.retryMs
        attempt.contacted += to
        return listOf(Effect.Send(to, PermitRequest(kind, attempt.backend, attempt.id, attempt.run, attempt.budgetMs, attempt.waitMs)))
    }

    private fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: PermitReply,
    ): List<Effect> {
        if (answer.id.incarnation != self.incarnation) return emptyList()
        val token = tokens[answer.id.number] ?: return emptyList()
        val attempt = attempts[token] ?: return emptyList()
        if (attempt.isGranted) return emptyList()
        return when (answer.verdict) {
            PermitVerdict.GRANTED -> onGranted(nowMs, token, attempt)
            PermitVerdict.WARM -> onWarm(nowMs, token, attempt)
            PermitVerdict.BUSY -> refuse(nowMs, token, attempt.also { it.refusal = answer })
            PermitVerdict.NOT_HOME -> onNotHome(nowMs, from, attempt, answer)
        }
    }

    private fun onGranted(
        nowMs: Long,
        token: Long,
        attempt: PermitAttempt,
    ): List<Effect> {
        if (nowMs >= attempt.useUntilMs) return refuse(nowMs, token, attempt)
        attempt.isGranted = true
        return listOf(Effect.PermitDecided(token, PermitOutcome.Granted(attempt.useUntilMs)))
    }

    private fun onWarm(
        nowMs: Long,
        token: Long,
        attempt: PermitAttempt,
    ): List<Effect> {
        warmRuns[attempt.backend] = attempt.run
        return finish(nowMs, token, isCompleted = false) + Effect.PermitDecided(token, PermitOutcome.Warm)
    }

    private fun onNotHome(
        nowMs: Long,
        from: PeerId,
        attempt: PermitAttempt,
        answer: PermitReply,
    ): List<Effect> {
        val other = answer.home?.let(::InstanceId)
        val isNew = other != null && other != from.id && other !in attempt.contacted
        attempt.redirect = other.takeIf { isNew }
        if (isNew) attempt.nextSendMs = nowMs
        return sendAsk(nowMs, attempt)
    }

    private fun refuse(
        nowMs: Long,
        token: Long,
        attempt: PermitAttempt,
    ): List<Effect> {
        val reason =
            when {
                attempt.refusal?.verdict == PermitVerdict.BUSY -> PermitRefusal.BUSY
                snapshot?.mayAct(nowMs) != true -> PermitRefusal.NO_RIGHT
                else -> PermitRefusal.UNREACHABLE
            }
        val retryAfterMs = attempt.refusal?.retryAfterMs ?: timing.retryMs
        forget(token)
        return release(attempt, isCompleted = false) + Effect.PermitDecided(token, PermitOutcome.Refused(reason, retryAfterMs))
    }

    private fun release(
        attempt: PermitAttempt,
        isCompleted: Boolean,
    ): List<Effect> = attempt.contacted.map { Effect.Send(it, PermitRelease(kind, attempt.backend, attempt.id, isCompleted)) }

    private fun forget(token: Long): PermitAttempt? = attempts.remove(token)?.also { tokens.remove(it.id.number) }

    private fun deliver(
        nowMs: Long,
        step: (MutableList<Effect>) -> Unit,
    ): List<Effect> = deliverLocally(self.id, { handle(nowMs, self, it) }, step)
}
