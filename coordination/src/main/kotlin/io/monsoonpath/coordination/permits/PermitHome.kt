package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.Standing
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.HandoverAnswer
import io.monsoonpath.coordination.message.HandoverAsk
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.PermitAnswer
import io.monsoonpath.coordination.message.PermitAsk
import io.monsoonpath.coordination.message.PermitDone
import io.monsoonpath.coordination.message.PermitVerdict
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.succession.HolderSafeguards
import io.monsoonpath.coordination.succession.Succession
import io.monsoonpath.model.BackendId

/** The part of a process that grants the permits of which it is the home. */
internal class PermitHome(
    self: PeerId,
    private val kind: HandoverKind,
    private val timing: PermitTiming,
    membership: MembershipTiming,
    startedMs: Long,
    safeguards: HolderSafeguards,
) {
    private val succession = Succession(kind, self, 1, longestMs(), membership.lapseMs, startedMs, safeguards)
    private val tables = HashMap<BackendId, PermitTable>()
    private var limits = emptyMap<BackendId, PermitLimits>()

    /** The number of backend servers of which something is remembered. */
    val size: Int get() = tables.size
    val isHandedOver: Boolean get() = succession.isHandedOver()

    private fun longestMs() = if (kind == HandoverKind.LOADS) maxOf(timing.longestMs, timing.slotMs) else timing.longestMs

    fun onLimits(next: Map<BackendId, PermitLimits>) {
        limits = next
    }

    fun onStanding(
        nowMs: Long,
        next: Standing,
    ): List<Effect> = succession.onStanding(nowMs, next)

    fun onTick(nowMs: Long): List<Effect> = succession.onTick(nowMs) + serveAll(nowMs)

    fun onAsk(
        nowMs: Long,
        from: PeerId,
        ask: PermitAsk,
    ): List<Effect> {
        val limits = limits[ask.backend]
        if (limits == null || !mayGrant(ask.backend, nowMs)) return listOf(notHome(from, ask))
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
        done: PermitDone,
    ): List<Effect> {
        val table = tables.getOrPut(done.backend) { PermitTable(done.backend, timing) }
        table.giveBack(nowMs, done.id, done.isCompleted)
        val forwarded = forward(from, done)
        return forwarded + serve(nowMs, done.backend, table)
    }

    /** Passes a returned permit on to the new home, which may count it by a handover. */
    private fun forward(
        from: PeerId,
        done: PermitDone,
    ): List<Effect> {
        val standing = succession.current ?: return emptyList()
        val home = standing.homeOf(resourceOf(done.backend))
        val isFirstHand = done.id.instance == from.id
        val isElsewhere = home != standing.self.id && home != from.id
        return if (home != null && isFirstHand && isElsewhere) listOf(Effect.Send(home, done)) else emptyList()
    }

    fun onCold(
        backend: BackendId,
        run: RunId,
    ) {
        tables[backend]?.restart(run)
    }

    fun onHandoverAsk(
        nowMs: Long,
        from: PeerId,
        ask: HandoverAsk,
    ): List<Effect> {
        val header = succession.answer(nowMs, from, ask) ?: return emptyList()
        val cell = checkNotNull(succession.current) { "answered without a list" }.cell
        val moving = tables.filterKeys { cell.homeOf(resourceOf(it)) == from.id }
        val out = ArrayList<Effect>()
        moving.values.forEach { table -> table.dismissWaiting().mapTo(out) { notHome(it.from, it.ask) } }
        val permits = moving.values.flatMap { it.permitRecords(nowMs) }.chunked(RECORDS_PER_PART)
        val runs = moving.values.flatMap { it.runRecords() }.chunked(RECORDS_PER_PART)
        val parts = maxOf(permits.size, runs.size, 1)
        for (i in 0 until parts) {
            val part =
                header.copy(
                    permits = permits.getOrElse(i) { emptyList() },
                    runs = runs.getOrElse(i) { emptyList() },
                    part = i,
                    parts = parts,
                )
            out += Effect.Send(from.id, part)
        }
        return out
    }

    fun onHandoverAnswer(
        nowMs: Long,
        from: PeerId,
        answer: HandoverAnswer,
    ): List<Effect> {
        if (!succession.onAnswer(nowMs, from, answer)) return emptyList()
        answer.permits.forEach { tableOf(it.backend).merge(nowMs, it) }
        answer.runs.forEach { tableOf(it.backend).merge(it) }
        return succession.onTick(nowMs) + serveAll(nowMs)
    }

    private fun tableOf(backend: BackendId) = tables.getOrPut(backend) { PermitTable(backend, timing) }

    private fun mayGrant(
        backend: BackendId,
        nowMs: Long,
    ): Boolean = resourceOf(backend).let { succession.owns(it, nowMs) || succession.ownsUntilAsked(it, nowMs) }

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
            table.dismissWaiting().mapTo(out) { notHome(it.from, it.ask) }
        } else {
            table.serveWaiting(nowMs, limits).mapTo(out) { (waiting, verdict) -> answer(waiting.from, waiting.ask, verdict) }
        }
        return out
    }

    private fun answer(
        to: PeerId,
        ask: PermitAsk,
        verdict: PermitVerdict,
    ) = Effect.Send(to.id, PermitAnswer(kind, ask.id, verdict, retryAfterMs = if (verdict == PermitVerdict.BUSY) BUSY_RETRY_MS else 0))

    /** Refuses with the instance to ask instead: the home by the list, or the former home where the new one does not grant yet. */
    private fun notHome(
        to: PeerId,
        ask: PermitAsk,
    ): Effect {
        val standing = succession.current
        val resource = resourceOf(ask.backend)
        val home = standing?.homeOf(resource)
        val other = if (home == standing?.self?.id) succession.formerHome(resource) else home
        return Effect.Send(to.id, PermitAnswer(kind, ask.id, PermitVerdict.NOT_HOME, other?.value, BUSY_RETRY_MS))
    }

    private fun resourceOf(backend: BackendId): Resource = resourceOf(kind.name, backend.value)

    private companion object {
        const val RECORDS_PER_PART = 200
        const val BUSY_RETRY_MS = 100L
    }
}
