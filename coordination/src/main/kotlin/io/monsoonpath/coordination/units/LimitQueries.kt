package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.Debit
import io.monsoonpath.coordination.message.DebitReply
import io.monsoonpath.coordination.message.Refund
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.InstanceId

/**
 * Gathers tokens at peers for the requests that wait.
 *
 * The first round asks the fewest peers that are expected to have enough; the second asks all others. A query that found too little
 * while units or tokens were on their way returns what it took and tries again until its time is up.
 */
internal class LimitQueries(
    private val self: PeerId,
    private val timeoutMs: Long,
    private val spender: LocalSpender,
    private val holder: UnitHolder,
) {
    private class Pending(
        val query: LimitQuery,
        val workspace: WorkspaceLimit,
    )

    private val pending = LinkedHashSet<Pending>()
    private val byDebit = HashMap<Long, Pending>()
    private val silentUntilMs = HashMap<InstanceId, Long>()
    private val abandoned =
        object : LinkedHashMap<Long, InstanceId>() {
            override fun removeEldestEntry(eldest: Map.Entry<Long, InstanceId>) = size > MAX_ABANDONED
        }
    private var debitCount = 0L

    fun start(
        nowMs: Long,
        query: LimitQuery,
        workspace: WorkspaceLimit?,
    ): List<Effect> {
        if (workspace == null) return listOf(Effect.LimitDecided(query, LimitDecision.Unreachable(null)))
        val started = Pending(query, workspace)
        pending += started
        return firstRound(nowMs, started)
    }

    fun onReply(
        nowMs: Long,
        from: PeerId,
        reply: DebitReply,
    ): List<Effect> {
        val asking = byDebit.remove(reply.query) ?: return refundAbandoned(from, reply)
        val query = asking.query
        if (query.outstanding.remove(reply.query) != from.id) return emptyList()
        silentUntilMs -= from.id
        asking.workspace.noteLevel(from.id, nowMs, reply.left)
        query.answers[from.id] = PeerAnswer(reply.left, reply.held, reply.unsure)
        query.charge.addRemote(from.id, reply.query, reply.granted)
        return proceed(nowMs, asking)
    }

    /** Returns tokens that came after their query had ended; a second copy of an answer that was used is no such thing. */
    private fun refundAbandoned(
        from: PeerId,
        reply: DebitReply,
    ): List<Effect> {
        val isAbandoned = abandoned.remove(reply.query) == from.id
        return if (isAbandoned && reply.granted > 0) listOf(Effect.Send(from.id, Refund(reply.query, reply.granted))) else emptyList()
    }

    fun onTick(nowMs: Long): List<Effect> = pending.toList().flatMap { proceed(nowMs, it) }

    private fun proceed(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val query = asking.query
        val retryAtMs = query.retryAtMs
        return when {
            query.isDone -> emptyList()
            nowMs - query.startedMs > timeoutMs -> end(nowMs, asking, isLate = true)
            query.charge.amount >= TOKEN -> admit(nowMs, asking)
            retryAtMs != null -> if (nowMs >= retryAtMs) retry(nowMs, asking) else emptyList()
            query.outstanding.isNotEmpty() && (query.round > 1 || nowMs < query.hedgeAtMs) -> emptyList()
            query.round == 1 -> secondRound(nowMs, asking)
            query.outstanding.isNotEmpty() -> emptyList()
            else -> end(nowMs, asking, isLate = false)
        }
    }

    private fun firstRound(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val (query, workspace) = asking.query to asking.workspace
        query.round = 1
        query.hedgeAtMs = nowMs + timeoutMs / 3
        val holders = holder.holdersOf(workspace)
        val effects = ask(nowMs, asking, holders.own)
        if (query.outstanding.isEmpty()) effects += ask(nowMs, asking, holders.otherCells)
        return effects.ifEmpty { proceed(nowMs, asking) }
    }

    /** Asks the peers with the highest expected levels until they are expected to suffice; none if they are not. */
    private fun ask(
        nowMs: Long,
        asking: Pending,
        holders: Map<InstanceId, UnitLimit>,
    ): MutableList<Effect> {
        val workspace = asking.workspace
        val ranked =
            holders.entries
                .filter { (id, _) -> id != self.id && (silentUntilMs[id] ?: 0) <= nowMs }
                .map { (id, total) -> id to workspace.expectedAt(id, total, nowMs) }
                .filter { (_, expected) -> expected > 0 }
                .sortedByDescending { (_, expected) -> expected }
        var needed = TOKEN - asking.query.charge.amount
        val effects = ArrayList<Effect>(1)
        if (ranked.sumOf { (_, expected) -> minOf(expected, TOKEN) } < needed) return effects
        for ((id, expected) in ranked) {
            if (needed <= 0) break
            val amount = minOf(expected, needed)
            workspace.noteLevel(id, nowMs, expected - amount)
            effects += debit(asking, id, amount)
            needed -= amount
        }
        return effects
    }

    private fun secondRound(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val query = asking.query
        query.round = 2
        val holders = holder.holdersOf(asking.workspace)
        val needed = TOKEN - query.charge.amount
        val others = holders.own.keys + holders.otherCells.keys + holders.former - self.id - query.outstanding.values.toSet()
        val effects =
            others
                .filter { query.answers[it]?.left != 0L }
                .map { debit(asking, it, needed) }
        return effects.ifEmpty { proceed(nowMs, asking) }
    }

    private fun debit(
        asking: Pending,
        peer: InstanceId,
        amount: Long,
    ): Effect {
        val number = self.incarnation.value + debitCount++
        byDebit[number] = asking
        asking.query.outstanding[number] = peer
        asking.query.asked++
        return Effect.Send(peer, Debit(number, asking.workspace.id.value, amount))
    }

    private fun admit(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val charge = asking.query.charge
        val effects = ArrayList<Effect>()
        refundExcess(charge)?.let { effects += it }
        close(nowMs, asking)
        effects += Effect.LimitDecided(asking.query, LimitDecision.Admitted(charge))
        return effects
    }

    private fun refundExcess(charge: Charge): Effect? {
        val excess = charge.amount - TOKEN
        if (excess <= 0) return null
        val last = charge.reduceLatestRemote(excess)
        return Effect.Send(last.peer, Refund(last.debit, excess))
    }

    private fun end(
        nowMs: Long,
        asking: Pending,
        isLate: Boolean,
    ): List<Effect> {
        val query = asking.query
        val effects = giveAllBack(nowMs, asking)
        val isComplete = heldInSight(asking) >= asking.workspace.limits.size * UNITS
        val isUnsure = query.answers.values.any { it.isUnsure } || holder.isMoving(asking.workspace) || !isComplete
        if (isUnsure && !isLate) {
            query.retryAtMs = nowMs + RETRY_BASE_MS + (query.asked * RETRY_SPREAD_FACTOR + self.incarnation.value).mod(RETRY_SPREAD_MS)
            return effects
        }
        close(nowMs, asking)
        val decision = if (isComplete) rateLimited(nowMs, asking) else LimitDecision.Unreachable(missingPeer(asking))
        return effects + Effect.LimitDecided(query, decision)
    }

    private fun retry(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val query = asking.query
        query.retryAtMs = null
        query.answers.clear()
        query.charge = spender.take(ClockMs { nowMs }, nowMs, asking.workspace)
        return if (query.charge.amount >= TOKEN) admit(nowMs, asking) else firstRound(nowMs, asking)
    }

    private fun giveAllBack(
        nowMs: Long,
        asking: Pending,
    ): List<Effect> {
        val charge = asking.query.charge
        asking.query.charge = Charge(nowMs)
        spender.giveBack(nowMs, charge)
        return charge.remote.map { Effect.Send(it.peer, Refund(it.debit, it.amount)) }
    }

    private fun heldInSight(asking: Pending): Int =
        asking.workspace.held.count +
            asking.query.answers.values
                .sumOf { it.held }

    private fun missingPeer(asking: Pending): InstanceId? =
        asking.query.outstanding.values
            .firstOrNull()
            ?: (holder.holdersOf(asking.workspace).own.keys - self.id - asking.query.answers.keys).firstOrNull()

    private fun rateLimited(
        nowMs: Long,
        asking: Pending,
    ): LimitDecision {
        val workspace = asking.workspace
        val available =
            asking.query.answers.values
                .sumOf { it.left } + workspace.held.buckets.sumOf { it?.level(nowMs) ?: 0 }
        val ratePerMs = workspace.totalRatePerMs.coerceAtLeast(1)
        val retryAfterMs = ((TOKEN - available).coerceAtLeast(0) / ratePerMs).coerceAtLeast(1)
        if (asking.query.answers.values
                .none { it.isUnsure }
        ) {
            workspace.emptyUntilMs = nowMs + retryAfterMs
        }
        return LimitDecision.RateLimited(retryAfterMs)
    }

    private fun close(
        nowMs: Long,
        asking: Pending,
    ) {
        asking.query.isDone = true
        pending -= asking
        for ((debit, peer) in asking.query.outstanding) {
            byDebit -= debit
            abandoned[debit] = peer
            if (nowMs >= asking.query.hedgeAtMs) silentUntilMs[peer] = nowMs + SILENT_MS
        }
    }

    private companion object {
        const val SILENT_MS = 1_000L
        const val MAX_ABANDONED = 4_096
        const val RETRY_BASE_MS = 5L
        const val RETRY_SPREAD_MS = 30L
        const val RETRY_SPREAD_FACTOR = 7L
    }
}
