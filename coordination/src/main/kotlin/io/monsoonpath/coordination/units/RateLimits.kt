package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.Debit
import io.monsoonpath.coordination.message.DebitReply
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.Refund
import io.monsoonpath.coordination.message.UnitHandover
import io.monsoonpath.coordination.message.UnitHandoverRequest
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId
import java.util.concurrent.ConcurrentHashMap

/**
 * Enforces the rate limits of all workspaces over all instances; this is the part of one instance.
 *
 * Each limit is split into [UNIT_COUNT] units per region. Each unit is a token bucket that one instance of the region holds at a time.
 *
 * Requests call [acquire] from any thread. All other functions must be called from one thread, the event loop that also runs the
 * membership. The loop passes in each new [MembershipSnapshot], each message and a tick about every 10 ms while queries wait, and
 * executes the returned effects. It reads the clock after it has received a message, never before.
 *
 * After [LimitDecision.NeedPeers] the caller passes the query to the loop ([startQuery]) and waits for [Effect.LimitDecided], at most
 * [peerTimeoutMs] after the query started.
 */
class RateLimits internal constructor(
    private val self: PeerId,
    private val region: Region,
    private val peerTimeoutMs: Long,
    private val safeguards: Safeguards,
) {
    /**
     * Creates the rate limits of the process [self] in [region].
     *
     * @param peerTimeoutMs the longest time from a request's arrival to the use of a token; the margin of the lease must exceed it
     */
    constructor(self: PeerId, region: Region, peerTimeoutMs: Long) : this(self, region, peerTimeoutMs, Safeguards())

    /** The membership snapshot that the held units match. It is replaced only after units that a newer snapshot forbids were dropped. */
    @Volatile
    private var snapshot: MembershipSnapshot? = null

    private val workspaces = ConcurrentHashMap<WorkspaceId, WorkspaceLimit>()
    private val spender = LocalSpender({ snapshot }, peerTimeoutMs, safeguards)
    private val ownership = UnitOwnership(self, region, peerTimeoutMs, workspaces.values, safeguards)
    private val ledger = DebitLedger(safeguards)
    private val queries = LimitQueries(self, peerTimeoutMs, spender, ownership)
    private var revision = ConfigRevision.NONE

    /**
     * Spends one token of [workspace] from the units held here, or returns why that is not possible.
     *
     * This function is thread-safe and does not wait.
     */
    fun acquire(
        clock: ClockMs,
        workspace: WorkspaceId,
    ): LimitDecision {
        val limit = workspaces[workspace] ?: return LimitDecision.Unreachable(null)
        val startedMs = clock.nowMs()
        val charge = spender.takeToken(clock, startedMs, limit)
        if (charge.amount == TOKEN) return LimitDecision.Admitted(charge)
        val remainingMs = limit.emptyUntilMs.let { if (it == Long.MIN_VALUE) 0 else it - startedMs }
        if (remainingMs > 0) {
            spender.refundLocal(startedMs, charge)
            return LimitDecision.RateLimited(remainingMs)
        }
        return LimitDecision.NeedPeers(LimitQuery(workspace, startedMs, charge))
    }

    /** Applies the limits of [configuration], unless a configuration of the same or a newer revision was applied before. */
    fun onConfiguration(
        nowMs: Long,
        configuration: Configuration,
    ) {
        if (configuration.revision <= revision) return
        revision = configuration.revision
        val defaultRegion = configuration.domains.first().region
        val configured = configuration.workspaces.mapTo(HashSet()) { it.id }
        workspaces.values.filter { it.id !in configured }.forEach { ownership.drop(nowMs, it) }
        workspaces.keys.retainAll(configured)
        for (spec in configuration.workspaces) {
            val limit = workspaces.getOrPut(spec.id) { WorkspaceLimit(spec.id) }
            limit.limits = spec.unitLimits(defaultRegion)
            limit.emptyUntilMs = Long.MIN_VALUE
            limit.holders = null
            limit.held.buckets.forEach { it?.changeLimit(nowMs, limit.limits[region] ?: ZERO_LIMIT) }
        }
        ownership.onWorkspacesChanged(nowMs)
    }

    /** Applies a new snapshot of the membership. */
    fun onStanding(
        nowMs: Long,
        snapshot: MembershipSnapshot,
    ): List<Effect> {
        val effects = ownership.onMembershipChange(nowMs, snapshot)
        this.snapshot = snapshot
        return effects
    }

    /** Handles a message from a peer. Messages that do not concern rate limits are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when (message) {
            is Debit -> answerDebit(nowMs, from, message)
            is DebitReply -> queries.onReply(nowMs, from, message)
            is Refund -> emptyList<Effect>().also { ledger.refund(nowMs, from, message) }
            is UnitHandoverRequest -> ownership.onHandoverRequest(nowMs, from, message)
            is UnitHandover -> emptyList<Effect>().also { ownership.onHandover(nowMs, from, message) }
            else -> emptyList()
        }

    /** Starts to collect tokens for [query] from peers. */
    fun startQuery(
        nowMs: Long,
        query: LimitQuery,
    ): List<Effect> = queries.start(nowMs, query, workspaces[query.workspace])

    /** Repeats unanswered handover requests, advances queries and ends those that timed out. */
    fun onTick(nowMs: Long): List<Effect> = ownership.onTick(nowMs) + queries.onTick(nowMs)

    /** Refunds [charge], for a request that was refused afterwards and did not run. */
    fun refund(
        nowMs: Long,
        charge: Charge,
    ): List<Effect> {
        spender.refundLocal(nowMs, charge)
        return charge.remote.map { Effect.Send(it.peer, Refund(it.debit, it.amount)) }
    }

    /** Returns a bit mask of the units of [workspace] that may be spent from here at [nowMs]. For tests. */
    internal fun usableUnits(
        nowMs: Long,
        workspace: WorkspaceId,
    ): Int {
        val held = workspaces[workspace]?.held?.takeIf { spender.mayUse(it, nowMs) } ?: return 0
        return held.buckets.foldIndexed(0) { i, bits, bucket ->
            if (bucket == null || nowMs >= bucket.usableUntilMs) bits else bits or (1 shl i)
        }
    }

    /** Returns when the oldest usable unit of [workspace] was acquired, or null if there is none. For tests. */
    internal fun oldestUsableMs(
        nowMs: Long,
        workspace: WorkspaceId,
    ): Long? {
        val held = workspaces[workspace]?.held?.takeIf { spender.mayUse(it, nowMs) } ?: return null
        return held.buckets.minOfOrNull { it?.createdMs ?: Long.MAX_VALUE }
    }

    private fun answerDebit(
        nowMs: Long,
        from: PeerId,
        debit: Debit,
    ): List<Effect> {
        val limit = workspaces[WorkspaceId(debit.workspace)]
        if (limit == null) return listOf(Effect.Send(from.id, DebitReply(debit.query, 0, 0, 0, hasPendingTransfers = true)))
        if (ledger.isRecorded(from, debit.query)) return emptyList()
        val held = limit.held.takeIf { spender.mayUse(it, nowMs) }
        val isContended = ledger.servedOtherPeer(limit.id, from, nowMs)
        val granted = if (held == null) 0 else ledger.grant(nowMs, from, debit, held)
        val left = held?.buckets?.sumOf { it?.level(nowMs) ?: 0 } ?: 0
        val unsure = isContended || ownership.isMoving(limit)
        return listOf(Effect.Send(from.id, DebitReply(debit.query, granted, left, held?.count ?: 0, unsure)))
    }

    private companion object {
        val ZERO_LIMIT = UnitLimit(0, 0)
    }
}
