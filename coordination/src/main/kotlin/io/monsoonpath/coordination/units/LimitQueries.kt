package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.Debit
import io.monsoonpath.coordination.message.DebitReply
import io.monsoonpath.coordination.message.Refund
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.InstanceId

/**
 * Collects tokens from peers for waiting requests.
 *
 * The first round sends debits to the fewest peers that are expected to have enough, the second round to all others. A query that
 * found too little while units or refunds were in transit refunds what it withdrew and retries until [timeoutMs] has passed.
 */
internal class LimitQueries(
    private val self: PeerId,
    private val timeoutMs: Long,
    private val spender: LocalSpender,
    private val ownership: UnitOwnership,
) {
    private class PendingQuery(
        val query: LimitQuery,
        val workspace: WorkspaceLimit,
    )

    private val pending = LinkedHashSet<PendingQuery>()
    private val pendingByDebit = HashMap<Long, PendingQuery>()
    private val skipUntilMs = HashMap<InstanceId, Long>()
    private val abandonedDebits =
        object : LinkedHashMap<Long, InstanceId>() {
            override fun removeEldestEntry(eldest: Map.Entry<Long, InstanceId>) = size > MAX_ABANDONED
        }
    private var debitCount = 0L

    /** Starts [query], or ends it as unreachable if its [workspace] is not configured. */
    fun start(
        nowMs: Long,
        query: LimitQuery,
        workspace: WorkspaceLimit?,
    ): List<Effect> {
        if (workspace == null) return listOf(Effect.LimitDecided(query, LimitDecision.Unreachable(null)))
        val entry = PendingQuery(query, workspace)
        pending += entry
        return startFirstRound(nowMs, entry)
    }

    /** Handles the answer of [from] to a debit. A duplicate is ignored; what a closed query no longer needs is refunded. */
    fun onReply(
        nowMs: Long,
        from: PeerId,
        reply: DebitReply,
    ): List<Effect> {
        val entry = pendingByDebit.remove(reply.query) ?: return refundAbandoned(from, reply)
        val query = entry.query
        if (query.outstanding.remove(reply.query) != from.id) return emptyList()
        skipUntilMs -= from.id
        entry.workspace.recordLevel(from.id, nowMs, reply.remaining)
        query.answers[from.id] = PeerAnswer(reply.remaining, reply.heldUnits, reply.hasPendingTransfers)
        query.charge.addRemote(from.id, reply.query, reply.granted)
        return advance(nowMs, entry)
    }

    /** Refunds tokens that arrived after their query ended, but not those of a duplicate of an answer that was used. */
    private fun refundAbandoned(
        from: PeerId,
        reply: DebitReply,
    ): List<Effect> {
        val isAbandoned = abandonedDebits.remove(reply.query) == from.id
        return if (isAbandoned && reply.granted > 0) listOf(Effect.Send(from.id, Refund(reply.query, reply.granted))) else emptyList()
    }

    /** Advances all queries: starts second rounds and retries that are due, and ends queries that timed out. */
    fun onTick(nowMs: Long): List<Effect> = pending.toList().flatMap { advance(nowMs, it) }

    private fun advance(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val query = entry.query
        val retryAtMs = query.retryAtMs
        return when {
            query.isDone -> emptyList()
            nowMs - query.startedMs > timeoutMs -> finishRound(nowMs, entry, isTimedOut = true)
            query.charge.amount >= TOKEN -> admit(nowMs, entry)
            retryAtMs != null -> if (nowMs >= retryAtMs) retry(nowMs, entry) else emptyList()
            query.outstanding.isNotEmpty() && (query.round > 1 || nowMs < query.hedgeAtMs) -> emptyList()
            query.round == 1 -> startSecondRound(nowMs, entry)
            query.outstanding.isNotEmpty() -> emptyList()
            else -> finishRound(nowMs, entry, isTimedOut = false)
        }
    }

    private fun startFirstRound(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val (query, workspace) = entry.query to entry.workspace
        query.round = 1
        query.hedgeAtMs = nowMs + timeoutMs / 3
        val holders = ownership.holdersOf(workspace)
        val effects = sendDebits(nowMs, entry, holders.ownCell)
        if (query.outstanding.isEmpty()) effects += sendDebits(nowMs, entry, holders.otherCells)
        return effects.ifEmpty { advance(nowMs, entry) }
    }

    /** Sends debits to the peers with the highest expected levels until these suffice for one token, or none if they do not suffice. */
    private fun sendDebits(
        nowMs: Long,
        entry: PendingQuery,
        holders: Map<InstanceId, UnitLimit>,
    ): MutableList<Effect> {
        val workspace = entry.workspace
        val ranked =
            holders.entries
                .filter { (id, _) -> id != self.id && (skipUntilMs[id] ?: 0) <= nowMs }
                .map { (id, total) -> id to workspace.expectedLevel(id, total, nowMs) }
                .filter { (_, expected) -> expected > 0 }
                .sortedByDescending { (_, expected) -> expected }
        var needed = TOKEN - entry.query.charge.amount
        val effects = ArrayList<Effect>(1)
        if (ranked.sumOf { (_, expected) -> minOf(expected, TOKEN) } < needed) return effects
        for ((id, expected) in ranked) {
            if (needed <= 0) break
            val amount = minOf(expected, needed)
            workspace.recordLevel(id, nowMs, expected - amount)
            effects += createDebit(entry, id, amount)
            needed -= amount
        }
        return effects
    }

    private fun startSecondRound(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val query = entry.query
        query.round = 2
        val holders = ownership.holdersOf(entry.workspace)
        val needed = TOKEN - query.charge.amount
        val others = holders.ownCell.keys + holders.otherCells.keys + holders.former - self.id - query.outstanding.values.toSet()
        val effects =
            others
                .filter { query.answers[it]?.remaining != 0L }
                .map { createDebit(entry, it, needed) }
        return effects.ifEmpty { advance(nowMs, entry) }
    }

    private fun createDebit(
        entry: PendingQuery,
        peer: InstanceId,
        amount: Long,
    ): Effect {
        val number = self.incarnation.value + debitCount++
        pendingByDebit[number] = entry
        entry.query.outstanding[number] = peer
        entry.query.debitsSent++
        return Effect.Send(peer, Debit(number, entry.workspace.id.value, amount))
    }

    private fun admit(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val charge = entry.query.charge
        val effects = ArrayList<Effect>()
        refundExcess(charge)?.let { effects += it }
        if (effects.isNotEmpty() || entry.query.outstanding.isNotEmpty()) entry.workspace.lastRefundMs = nowMs
        close(nowMs, entry)
        effects += Effect.LimitDecided(entry.query, LimitDecision.Admitted(charge))
        return effects
    }

    private fun refundExcess(charge: Charge): Effect? {
        val excess = charge.amount - TOKEN
        if (excess <= 0) return null
        val last = charge.reduceLatestRemote(excess)
        return Effect.Send(last.peer, Refund(last.debit, excess))
    }

    private fun finishRound(
        nowMs: Long,
        entry: PendingQuery,
        isTimedOut: Boolean,
    ): List<Effect> {
        val query = entry.query
        query.hadTokens = query.charge.amount > 0
        val returned = query.charge.remote.sumOf { it.amount }
        val effects = refundAll(nowMs, entry)
        val isComplete = countObservedUnits(entry) >= entry.workspace.limits.size * UNIT_COUNT
        val isProvisional =
            query.answers.values.any { it.isProvisional } || ownership.isMoving(entry.workspace) || !isComplete || isContended(nowMs, entry)
        val nextTokenDelayMs = nextTokenDelayMs(nowMs, entry, returned)
        val isTokenSoon = nowMs + nextTokenDelayMs + RETRY_JITTER_MS < query.startedMs + timeoutMs
        if ((isProvisional || isTokenSoon) && !isTimedOut) {
            val jitterMs = (query.debitsSent * RETRY_JITTER_FACTOR + self.incarnation.value).mod(RETRY_JITTER_MS)
            query.retryAtMs = nowMs + RETRY_BASE_MS + if (isProvisional) jitterMs else nextTokenDelayMs
            return effects
        }
        close(nowMs, entry)
        val decision =
            if (isComplete) {
                rateLimited(
                    nowMs,
                    entry.workspace,
                    nextTokenDelayMs,
                )
            } else {
                LimitDecision.Unreachable(unansweredPeer(entry))
            }
        return effects + Effect.LimitDecided(query, decision)
    }

    /** Returns whether other requests of the workspace hold partial tokens, or refunded some recently. */
    private fun isContended(
        nowMs: Long,
        entry: PendingQuery,
    ): Boolean {
        val workspace = entry.workspace
        val isRecent = nowMs - workspace.lastRefundMs < CONTENTION_WINDOW_MS
        if (entry.query.hadTokens) workspace.lastRefundMs = nowMs
        return isRecent || pending.any { it !== entry && it.workspace === workspace }
    }

    private fun retry(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val query = entry.query
        query.retryAtMs = null
        query.answers.clear()
        query.charge = spender.takeToken(ClockMs { nowMs }, nowMs, entry.workspace)
        return if (query.charge.amount >= TOKEN) admit(nowMs, entry) else startFirstRound(nowMs, entry)
    }

    private fun refundAll(
        nowMs: Long,
        entry: PendingQuery,
    ): List<Effect> {
        val charge = entry.query.charge
        entry.query.charge = Charge(nowMs)
        spender.refundLocal(nowMs, charge)
        return charge.remote.map { Effect.Send(it.peer, Refund(it.debit, it.amount)) }
    }

    private fun countObservedUnits(entry: PendingQuery): Int =
        entry.workspace.held.count +
            entry.query.answers.values
                .sumOf { it.heldUnits }

    private fun unansweredPeer(entry: PendingQuery): InstanceId? =
        entry.query.outstanding.values
            .firstOrNull()
            ?: (ownership.holdersOf(entry.workspace).ownCell.keys - self.id - entry.query.answers.keys).firstOrNull()

    /** Returns after how many milliseconds the observed units will have one token, given that the query refunded [returned]. */
    private fun nextTokenDelayMs(
        nowMs: Long,
        entry: PendingQuery,
        returned: Long,
    ): Long {
        val workspace = entry.workspace
        val available =
            returned +
                entry.query.answers.values
                    .sumOf { it.remaining } + workspace.held.buckets.sumOf { it?.level(nowMs) ?: 0 }
        return ((TOKEN - available).coerceAtLeast(0) / workspace.totalRatePerMs.coerceAtLeast(1)).coerceAtLeast(1)
    }

    private fun rateLimited(
        nowMs: Long,
        workspace: WorkspaceLimit,
        retryAfterMs: Long,
    ): LimitDecision {
        workspace.emptyUntilMs = nowMs + retryAfterMs
        return LimitDecision.RateLimited(retryAfterMs)
    }

    private fun close(
        nowMs: Long,
        entry: PendingQuery,
    ) {
        entry.query.isDone = true
        pending -= entry
        for ((debit, peer) in entry.query.outstanding) {
            pendingByDebit -= debit
            abandonedDebits[debit] = peer
            if (nowMs >= entry.query.hedgeAtMs) skipUntilMs[peer] = nowMs + UNRESPONSIVE_SKIP_MS
        }
    }

    private companion object {
        const val CONTENTION_WINDOW_MS = 20L
        const val UNRESPONSIVE_SKIP_MS = 1_000L
        const val MAX_ABANDONED = 4_096
        const val RETRY_BASE_MS = 5L
        const val RETRY_JITTER_MS = 30L
        const val RETRY_JITTER_FACTOR = 7L
    }
}
