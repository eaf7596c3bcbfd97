package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.coordination.message.HandoverRequest
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision

/**
 * Tracks which resources of one kind this process owns, that is, for which it is the home and may issue grants.
 *
 * The current list assigns a resource to its home. The home owns the resource once all former homes have handed over their grants, or
 * once these have expired: the leases under each older list have ended, and then the maximum lifetime of a grant has passed. A process
 * that has just started, or whose lease expired, owns nothing until every live member has handed over to it or that time has passed.
 *
 * @param replicas the number of homes of each resource
 * @param grantMs the maximum lifetime of a grant
 * @param expiryWaitMs the time after which the lease of another process has certainly expired
 */
internal class ResourceOwnership(
    private val kind: HandoverKind,
    private val self: PeerId,
    private val replicas: Int,
    grantMs: Long,
    private val expiryWaitMs: Long,
    private val startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    private val minTakeoverWaitMs = grantMs + expiryWaitMs
    private val older = OlderLists()
    private val inbox = HandoverInbox()
    private val generations = Generations(self)
    private val requesters = HashMap<InstanceId, Incarnation>()
    private var earlierCells = emptyList<CellMembers>()
    private var snapshot: MembershipSnapshot? = null
    private var leaseEpoch = 0L
    private var isStarting = safeguards.restartAbstains
    private var waitFromMs = startedMs
    private var isComplete = !isStarting
    private var isListCommitted = false
    private var wasComplete = false
    private var completeRevision = 0L
    private var beforeExpiry: StateBeforeExpiry? = null
    private var nextAskMs = 0L
    private var askIntervalMs = ASK_INTERVAL_MS

    /** The state to restore if no other process took over while the lease was expired. */
    private class StateBeforeExpiry(
        val revision: ListRevision,
        val untilMs: Long,
        val wasComplete: Boolean,
        val isComplete: Boolean,
    )

    /** The latest snapshot, or null before the first one. */
    val current: MembershipSnapshot? get() = snapshot

    /** The generation of this process, or null until a majority of the other live members has recorded it. */
    val generation: Int? get() = snapshot?.let { generations.confirmed(it.cell) }

    /** Applies the membership snapshot [next]. */
    fun onMembershipChange(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> {
        val before = snapshot
        snapshot = next
        if (next.leaseEpoch > leaseEpoch) handleLeaseExpiry(nowMs, before, next)
        if (before == null || before.revision != next.revision) beginRevision(before?.cell)
        if (before != null && isUnchanged(nowMs, before, next)) return emptyList()
        next.unsettled.filter { it.revision.value > completeRevision && it.revision < next.revision }.forEach(older::add)
        return onTick(nowMs)
    }

    private fun isUnchanged(
        nowMs: Long,
        before: MembershipSnapshot,
        next: MembershipSnapshot,
    ): Boolean {
        val isSameList = before.revision == next.revision && before.settled == next.settled && before.unsettled == next.unsettled
        val isSameLease = before.leaseEpoch == next.leaseEpoch && before.mayAcquire(nowMs) == next.mayAcquire(nowMs)
        return isSameList && isSameLease && before.settledSinceMs == next.settledSinceMs
    }

    private fun handleLeaseExpiry(
        nowMs: Long,
        before: MembershipSnapshot?,
        next: MembershipSnapshot,
    ) {
        leaseEpoch = next.leaseEpoch
        if (!safeguards.restartAbstains) return
        val isSameList = before != null && before.revision == next.revision
        beforeExpiry =
            if (isSameList && !isStarting) StateBeforeExpiry(next.revision, before.leaseUntilMs, wasComplete, isComplete) else null
        isStarting = true
        isComplete = false
        waitFromMs = nowMs
        inbox.clear()
    }

    private fun beginRevision(before: CellMembers?) {
        if (isComplete || startedWithoutResources(before)) older.clear()
        if (before != null) {
            if (startedWithoutResources(before)) completeRevision = before.revision.value
            older.add(before)
        }
        wasComplete = isComplete && before != null
        isComplete = false
        isListCommitted = false
        beforeExpiry = null
        generations.clearConfirmations()
        inbox.clear()
        requesters.clear()
        earlierCells = older.cells
        nextAskMs = 0
        askIntervalMs = ASK_INTERVAL_MS
    }

    /**
     * Returns whether this process started under a list, [before], in which its id isn't live and so has no resources.
     *
     * The resources of an earlier process of the id have then moved to other homes.
     */
    private fun startedWithoutResources(before: CellMembers?) =
        isStarting && beforeExpiry == null && before != null && self.id !in before.liveIds()

    /** Re-evaluates ownership and resends unanswered handover requests, with backoff; to be called about every 50 ms. */
    fun onTick(nowMs: Long): List<Effect> {
        val snapshot = snapshot ?: return emptyList()
        older.expire(nowMs, snapshot, if (safeguards.takeoverWait) takeoverWaitMs() else 0)
        if (!snapshot.mayAcquire(nowMs)) return emptyList()
        if (startedWithoutResources(snapshot.cell)) return emptyList()
        isListCommitted = true
        evaluate(nowMs, snapshot)
        if (nowMs < nextAskMs) return emptyList()
        val missing = if (isComplete) unconfirmed(snapshot.cell) else handoverSources(snapshot) - inbox.complete
        nextAskMs = nowMs + askIntervalMs
        askIntervalMs = (askIntervalMs * 2).coerceAtMost(MAX_ASK_INTERVAL_MS)
        return missing.map { Effect.Send(it, HandoverRequest(kind, snapshot.revision.value, isStarting, generations.own)) }
    }

    /** Returns the members that have yet to record the generation, which only orders use. */
    private fun unconfirmed(cell: CellMembers): Collection<InstanceId> =
        if (kind == HandoverKind.ORDERS) generations.unconfirmed(cell) else emptyList()

    private fun evaluate(
        nowMs: Long,
        snapshot: MembershipSnapshot,
    ) {
        if (isComplete) return
        if (isStarting) evaluateStart(nowMs, snapshot)
        if (!isStarting && inbox.complete.containsAll(handoverSources(snapshot))) markComplete(snapshot)
    }

    private fun evaluateStart(
        nowMs: Long,
        snapshot: MembershipSnapshot,
    ) {
        val sinceMs = snapshot.settledSinceMs
        val all = handoverSources(snapshot)
        when {
            sinceMs != null && nowMs >= maxOf(sinceMs, waitFromMs) + takeoverWaitMs() -> {
                older.clear()
                isStarting = false
                markComplete(snapshot)
            }
            isExpiryHarmless(nowMs, snapshot) -> restore()
            all.isNotEmpty() && inbox.complete.containsAll(all) && !hasPredecessor() -> {
                isStarting = false
                markComplete(snapshot)
            }
        }
    }

    /**
     * Returns how long after the end of a list's leases all grants under it have expired.
     *
     * Former homes go on granting for longer when the new home is joining, see [ownsUntilAsked].
     */
    private fun takeoverWaitMs(): Long {
        val isJoining = isStarting || older.cells.any { self.id !in it.liveIds() }
        return if (isJoining) minTakeoverWaitMs + expiryWaitMs else minTakeoverWaitMs
    }

    private fun hasPredecessor() = inbox.hasReportedPredecessor || older.cells.any { self.id in it.liveIds() }

    /**
     * Returns whether no other process can have taken over while the lease was expired.
     *
     * That is certain if a lease quorum of members that ran throughout that time has answered under the same list.
     */
    private fun isExpiryHarmless(
        nowMs: Long,
        snapshot: MembershipSnapshot,
    ): Boolean {
        val beforeExpiry = beforeExpiry ?: return false
        if (beforeExpiry.revision != snapshot.revision) return false
        val members = snapshot.cell.members.mapTo(HashSet()) { it.id }
        return inbox.countRunningSince(nowMs, beforeExpiry.untilMs - expiryWaitMs, members) >= snapshot.cell.leaseQuorum - 1
    }

    private fun restore() {
        val beforeExpiry = checkNotNull(beforeExpiry) { "no state before an expired lease to restore" }
        isStarting = false
        wasComplete = beforeExpiry.wasComplete
        isComplete = beforeExpiry.isComplete
        this.beforeExpiry = null
    }

    private fun markComplete(snapshot: MembershipSnapshot) {
        isComplete = true
        beforeExpiry = null
        completeRevision = snapshot.revision.value
        nextAskMs = 0
    }

    /**
     * Returns the members whose handover this process needs.
     *
     * If it was live under all lists, it receives resources only from members that are no longer live.
     */
    private fun handoverSources(snapshot: MembershipSnapshot): Set<InstanceId> {
        val live = snapshot.cell.liveIds()
        val former = older.cells.map { it.liveIds() }
        val gone = former.flatMapTo(LinkedHashSet()) { it } - live
        return if (!isStarting && former.all { self.id in it }) gone else gone + live - self.id
    }

    /** Returns whether this process is a home of [resource], has a valid lease and has received the grants of all former homes. */
    fun owns(
        resource: Resource,
        nowMs: Long,
    ): Boolean {
        val snapshot = snapshot ?: return false
        if (!snapshot.mayAct(nowMs) || snapshot.leaseEpoch != leaseEpoch) return false
        val homes = snapshot.homesOf(resource, replicas)
        if (self.id !in homes) return false
        if (isComplete) return true
        if (isStarting || older.cells.any { self.id !in it.liveIds() }) return false
        val former = older.formerHomes(resource, replicas, homes)
        return former.isEmpty() || (isListCommitted && inbox.complete.containsAll(former))
    }

    /** Returns whether this process, as the former home of [resource], may still issue grants because the new home has not asked for it. */
    fun ownsUntilAsked(
        resource: Resource,
        nowMs: Long,
    ): Boolean {
        val snapshot = snapshot ?: return false
        val before = older.latest ?: return false
        val isHeld = wasComplete && !isStarting && snapshot.mayAct(nowMs)
        if (!isHeld || before.homeOf(resource) != self.id) return false
        val home = snapshot.homeOf(resource) ?: return false
        val settledMs = snapshot.settledSinceMs
        val isInTime = settledMs == null || (home !in before.liveIds() && nowMs < settledMs + expiryWaitMs)
        return isInTime && home != self.id && home !in requesters
    }

    /** Returns the home of [resource] under the previous list, which may still hold it, or null if that list is unknown. */
    fun formerHome(resource: Resource): InstanceId? =
        (older.latest ?: earlierCells.lastOrNull() ?: snapshot?.unsettled?.lastOrNull())?.homeOf(resource)

    /** Returns the answer to [ask] without its records, or null if [ask] was sent under another list. */
    fun answer(
        nowMs: Long,
        from: PeerId,
        ask: HandoverRequest,
    ): HandoverReply? {
        val snapshot = snapshot ?: return null
        if (ask.revision != snapshot.revision.value) return null
        val earlier = requesters.put(from.id, from.incarnation)
        if (earlier != null && earlier != from.incarnation) requesters[from.id] = earlier
        val isIncumbent = (earlier ?: from.incarnation) != from.incarnation || earlierCells.any { from.id in it.liveIds() }
        return HandoverReply(
            kind = kind,
            revision = ask.revision,
            toIncarnation = from.incarnation.value,
            isComplete = (wasComplete || isComplete) && !isStarting && snapshot.mayAct(nowMs) && snapshot.leaseEpoch == leaseEpoch,
            hadPredecessor = isIncumbent,
            uptimeMs = nowMs - startedMs,
            generation = generations.register(from, ask.generation),
            olderLists = if (ask.isStarting || !wasComplete) earlierCells.map { InstanceList(it.revision, it.members) } else emptyList(),
        )
    }

    /** Handles the header of [answer]; returns whether its records are for this process under the current list. */
    fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: HandoverReply,
    ): Boolean {
        val snapshot = snapshot ?: return false
        if (answer.toIncarnation != self.incarnation.value || answer.revision != snapshot.revision.value) return false
        inbox.add(nowMs, from, answer)
        generations.recordConfirmation(from, answer.generation)
        answer.olderLists.filter { it.revision < snapshot.revision }.forEach { older.add(CellMembers(it.revision, it.members)) }
        if (isStarting && beforeExpiry == null) earlierCells = older.cells
        return true
    }

    /** Returns whether this process is leaving and every live member has asked it for a handover, so that it may stop. */
    fun isHandedOver(): Boolean {
        val snapshot = snapshot ?: return true
        return self.id !in snapshot.cell.liveIds() && requesters.keys.containsAll(snapshot.cell.liveIds())
    }

    private companion object {
        const val ASK_INTERVAL_MS = 100L
        const val MAX_ASK_INTERVAL_MS = 1_600L
    }
}
