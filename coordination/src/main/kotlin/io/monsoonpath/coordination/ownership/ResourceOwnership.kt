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
 * Decides which resources of one kind this process is the home of in fact, and not only by the list.
 *
 * A resource arrives by the answers of all its former homes, or by time: once the rights under each older list have ended and
 * the longest time for which a former home's grants last has passed. A process that starts, or whose right lapsed, holds nothing
 * until every live member has handed over to it or that time has passed.
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

    /** The state to return to if a lapse of the right proves harmless. */
    private class StateBeforeExpiry(
        val revision: ListRevision,
        val untilMs: Long,
        val wasComplete: Boolean,
        val isComplete: Boolean,
    )

    /** The snapshot in force, or null before the first list. */
    val current: MembershipSnapshot? get() = snapshot

    /** The number of this process among those of its id, once a majority of the members knows it. */
    val generation: Int? get() = snapshot?.let { generations.confirmed(it.cell) }

    /** Takes a new snapshot of membership. */
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
        val isSameRight = before.leaseEpoch == next.leaseEpoch && before.mayAcquire(nowMs) == next.mayAcquire(nowMs)
        return isSameList && isSameRight && before.settledSinceMs == next.settledSinceMs
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

    /** Whether this process started under a list in which its id is home of nothing: what an earlier process had has moved on. */
    private fun startedWithoutResources(before: CellMembers?) =
        isStarting && beforeExpiry == null && before != null && self.id !in before.liveIds()

    /** Re-evaluates and asks those that have not answered; call it every 50 ms or so. */
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

    /** Only orders carry the generation. */
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

    /** The time from a list's end to that of all grants under it; a member that joins is granted for longer by former homes. */
    private fun takeoverWaitMs(): Long {
        val isJoining = isStarting || older.cells.any { self.id !in it.liveIds() }
        return if (isJoining) minTakeoverWaitMs + expiryWaitMs else minTakeoverWaitMs
    }

    private fun hasPredecessor() = inbox.hasReportedPredecessor || older.cells.any { self.id in it.liveIds() }

    /** Nobody took over during a lapse if a vouching quorum that ran all the time knows of no newer list. */
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
        val beforeExpiry = checkNotNull(beforeExpiry) { "no lapse to return from" }
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

    /** The members whose handover this process needs; a process that was live all along gets something only from those that left. */
    private fun handoverSources(snapshot: MembershipSnapshot): Set<InstanceId> {
        val live = snapshot.cell.liveIds()
        val former = older.cells.map { it.liveIds() }
        val gone = former.flatMapTo(LinkedHashSet()) { it } - live
        return if (!isStarting && former.all { self.id in it }) gone else gone + live - self.id
    }

    /** Returns whether this process is the home of [resource] and has all that its former homes granted. */
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

    /** Returns whether this process, the former home of [resource], goes on until the new home asks it to hand over. */
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

    /** Returns the home of [resource] under the list before, which may hold it still, or null if that is not known. */
    fun formerHome(resource: Resource): InstanceId? =
        (older.latest ?: earlierCells.lastOrNull() ?: snapshot?.unsettled?.lastOrNull())?.homeOf(resource)

    /** Returns the answer to [ask] without records, or null if it was asked under another list. */
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

    /** Takes an answer's header; returns whether its records are for this process under the list in force. */
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

    /** Returns whether every live member has asked this process for its handover, so that it may stop. */
    fun isHandedOver(): Boolean {
        val snapshot = snapshot ?: return true
        return self.id !in snapshot.cell.liveIds() && requesters.keys.containsAll(snapshot.cell.liveIds())
    }

    private companion object {
        const val ASK_INTERVAL_MS = 100L
        const val MAX_ASK_INTERVAL_MS = 1_600L
    }
}
