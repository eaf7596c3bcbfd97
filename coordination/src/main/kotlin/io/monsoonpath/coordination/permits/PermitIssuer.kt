package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.coordination.message.HandoverRequest
import io.monsoonpath.coordination.message.PermitRelease
import io.monsoonpath.coordination.message.PermitReply
import io.monsoonpath.coordination.message.PermitRequest
import io.monsoonpath.coordination.message.PermitVerdict
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.ownership.ResourceOwnership
import io.monsoonpath.model.BackendId

/**
 * Grants permits for the backend servers whose home is this process.
 *
 * The home of a backend server is the live member that rendezvous hashing assigns to it.
 */
internal class PermitIssuer(
    self: PeerId,
    private val kind: HandoverKind,
    private val timing: PermitTiming,
    membership: MembershipTiming,
    startedMs: Long,
    safeguards: HolderSafeguards,
) {
    private val ownership = ResourceOwnership(kind, self, 1, maxLifetimeMs(), membership.expiryWaitMs, startedMs, safeguards)
    private val tables = HashMap<BackendId, PermitTable>()
    private var limits = emptyMap<BackendId, PermitLimits>()

    /** The number of backend servers for which state is kept. */
    val size: Int get() = tables.size
    val isHandedOver: Boolean get() = ownership.isHandedOver()

    private fun maxLifetimeMs() = if (kind == HandoverKind.LOADS) maxOf(timing.maxLifetimeMs, timing.slotMs) else timing.maxLifetimeMs

    fun updateLimits(next: Map<BackendId, PermitLimits>) {
        limits = next
    }

    fun onMembershipChange(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> = ownership.onMembershipChange(nowMs, next)

    fun onTick(nowMs: Long): List<Effect> = ownership.onTick(nowMs) + serveAll(nowMs)

    fun onAsk(
        nowMs: Long,
        from: PeerId,
        ask: PermitRequest,
    ): List<Effect> {
        val limits = limits[ask.backend]
        if (limits == null || !mayGrant(ask.backend, nowMs)) return listOf(redirect(from, ask))
        val table = tables.getOrPut(ask.backend) { PermitTable(ask.backend, timing) }
        val out = table.expire(nowMs).mapTo(ArrayList<Effect>()) { answer(it.from, it.ask, PermitVerdict.BUSY) }
        table.serveWaiting(nowMs, limits).mapTo(out) { (waiting, verdict) -> answer(waiting.from, waiting.ask, verdict) }
        val verdict =
            if (ask.budgetMs > timing.maxBudgetMs) PermitVerdict.BUSY else table.decide(nowMs, ask, from, limits)
        if (verdict != null) out += answer(from, ask, verdict)
        return out
    }

    fun onDone(
        nowMs: Long,
        from: PeerId,
        done: PermitRelease,
    ): List<Effect> {
        val table = tables.getOrPut(done.backend) { PermitTable(done.backend, timing) }
        table.release(nowMs, done.id, done.isCompleted)
        val forwarded = forward(from, done)
        return forwarded + serve(nowMs, done.backend, table)
    }

    /** Forwards a returned permit to the current home, which may have received its record in a handover. */
    private fun forward(
        from: PeerId,
        done: PermitRelease,
    ): List<Effect> {
        val snapshot = ownership.current ?: return emptyList()
        val home = snapshot.homeOf(resourceOf(done.backend))
        val isFirstHand = done.id.instance == from.id
        val isElsewhere = home != snapshot.self.id && home != from.id
        return if (home != null && isFirstHand && isElsewhere) listOf(Effect.Send(home, done)) else emptyList()
    }

    fun onColdStart(
        backend: BackendId,
        run: RunId,
    ) {
        tables[backend]?.resetCompletions(run)
    }

    fun onHandoverAsk(
        nowMs: Long,
        from: PeerId,
        ask: HandoverRequest,
    ): List<Effect> {
        val header = ownership.answer(nowMs, from, ask) ?: return emptyList()
        val cell = checkNotNull(ownership.current) { "answered a handover request without an instance list" }.cell
        val moving = tables.filterKeys { cell.homeOf(resourceOf(it)) == from.id }
        val out = ArrayList<Effect>()
        moving.values.forEach { table -> table.removeWaiting().mapTo(out) { redirect(it.from, it.ask) } }
        val permits = moving.values.flatMap { it.permitRecords(nowMs) }.chunked(RECORDS_PER_PART)
        val runs = moving.values.flatMap { it.runRecords() }.chunked(RECORDS_PER_PART)
        val parts = maxOf(permits.size, runs.size, 1)
        for (i in 0 until parts) {
            val part =
                header.copy(
                    permits = permits.getOrElse(i) { emptyList() },
                    runs = runs.getOrElse(i) { emptyList() },
                    partIndex = i,
                    partCount = parts,
                )
            out += Effect.Send(from.id, part)
        }
        return out
    }

    fun onHandoverAnswer(
        nowMs: Long,
        from: PeerId,
        answer: HandoverReply,
    ): List<Effect> {
        if (!ownership.onAnswer(nowMs, from, answer)) return emptyList()
        answer.permits.forEach { tableOf(it.backend).merge(nowMs, it) }
        answer.runs.forEach { tableOf(it.backend).merge(it) }
        return ownership.onTick(nowMs) + serveAll(nowMs)
    }

    private fun tableOf(backend: BackendId) = tables.getOrPut(backend) { PermitTable(backend, timing) }

    private fun mayGrant(
        backend: BackendId,
        nowMs: Long,
    ): Boolean = resourceOf(backend).let { ownership.owns(it, nowMs) || ownership.ownsUntilAsked(it, nowMs) }

    private fun serveAll(nowMs: Long): List<Effect> {
        val out = ArrayList<Effect>()
        for ((backend, table) in tables) out += serve(nowMs, backend, table)
        tables.values.removeIf { it.isEmpty }
        return out
    }

    private fun serve(
        nowMs: Long,
        backend: BackendId,
        table: PermitTable,
    ): List<Effect> {
        val out = table.expire(nowMs).mapTo(ArrayList<Effect>()) { answer(it.from, it.ask, PermitVerdict.BUSY) }
        val limits = limits[backend]
        if (limits == null || !mayGrant(backend, nowMs)) {
            table.removeWaiting().mapTo(out) { redirect(it.from, it.ask) }
        } else {
            table.serveWaiting(nowMs, limits).mapTo(out) { (waiting, verdict) -> answer(waiting.from, waiting.ask, verdict) }
        }
        return out
    }

    private fun answer(
        to: PeerId,
        ask: PermitRequest,
        verdict: PermitVerdict,
    ) = Effect.Send(to.id, PermitReply(kind, ask.id, verdict, retryAfterMs = if (verdict == PermitVerdict.BUSY) BUSY_RETRY_MS else 0))

    /**
     * Answers `NOT_HOME` with the instance to try instead.
     *
     * That is the home in the current list or, if this process is the home but doesn't own the permits yet, the former home.
     */
    private fun redirect(
        to: PeerId,
        ask: PermitRequest,
    ): Effect {
        val snapshot = ownership.current
        val resource = resourceOf(ask.backend)
        val home = snapshot?.homeOf(resource)
        val other = if (home == snapshot?.self?.id) ownership.formerHome(resource) else home
        return Effect.Send(to.id, PermitReply(kind, ask.id, PermitVerdict.NOT_HOME, other?.value, BUSY_RETRY_MS))
    }

    private fun resourceOf(backend: BackendId): Resource = resourceOf(kind.name, backend.value)

    private companion object {
        const val RECORDS_PER_PART = 200
        const val BUSY_RETRY_MS = 100L
    }
}
