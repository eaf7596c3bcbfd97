package io.monsoonpath.coordination.succession

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellList
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.Standing
import io.monsoonpath.coordination.message.HandoverAnswer
import io.monsoonpath.coordination.message.HandoverAsk
import io.monsoonpath.coordination.message.HandoverKind
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
internal class Succession(
    private val kind: HandoverKind,
    private val self: PeerId,
    private val replicas: Int,
    grantMs: Long,
    private val lapseMs: Long,
    private val startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    private val waitMs = grantMs + lapseMs
    private val older = OlderLists()
    private val inbox = HandoverInbox()
    private val generations = Generations(self)
    private val askers = HashMap<InstanceId, Incarnation>()
    private var predecessors = emptyList<CellList>()
    private var standing: Standing? = null
    private var rightEpoch = 0L
    private var isStarting = safeguards.restartAbstains
    private var waitFromMs = startedMs
    private var isWhole = !isStarting
    private var isAnchored = false
    private var wasWhole = false
    private var wholeRevision = 0L
    private var lapse: Lapse? = null
    private var nextAskMs = 0L
    private var askIntervalMs = ASK_INTERVAL_MS

    /** The state to return to if a lapse of the right proves harmless. */
    private class Lapse(
        val revision: ListRevision,
        val untilMs: Long,
        val wasWhole: Boolean,
        val isWhole: Boolean,
    )

    /** The snapshot in force, or null before the first list. */
    val current: Standing? get() = standing

    /** The number of this process among those of its id, once a majority of the members knows it. */
    val generation: Int? get() = standing?.let { generations.confirmed(it.cell) }

    /** Takes a new snapshot of membership. */
    fun onStanding(
        nowMs: Long,
        next: Standing,
    ): List<Effect> {
        val before = standing
        standing = next
        if (next.rightEpoch > rightEpoch) noteLapse(nowMs, before, next)
        if (before == null || before.revision != next.revision) moveTo(before?.cell)
        if (before != null && isSamePlace(nowMs, before, next)) return emptyList()
        next.unsettled.filter { it.revision.value > wholeRevision && it.revision < next.revision }.forEach(older::add)
        return onTick(nowMs)
    }

    private fun isSamePlace(
        nowMs: Long,
        before: Standing,
        next: Standing,
    ): Boolean {
        val isSameList = before.revision == next.revision && before.settled == next.settled && before.unsettled == next.unsettled
        val isSameRight = before.rightEpoch == next.rightEpoch && before.mayAcquire(nowMs) == next.mayAcquire(nowMs)
        return isSameList && isSameRight && before.settledSinceMs == next.settledSinceMs
    }

    private fun noteLapse(
        nowMs: Long,
        before: Standing?,
        next: Standing,
    ) {
        rightEpoch = next.rightEpoch
        if (!safeguards.restartAbstains) return
        val isSameList = before != null && before.revision == next.revision
        lapse = if (isSameList && !isStarting) Lapse(next.revision, before.rightUntilMs, wasWhole, isWhole) else null
        isStarting = true
        isWhole = false
        waitFromMs = nowMs
        inbox.clear()
    }

    private fun moveTo(before: CellList?) {
        if (isWhole) older.clear()
        if (before != null) older.add(before)
        wasWhole = isWhole && before != null
        isWhole = false
        isAnchored = false
        lapse = null
        inbox.clear()
        askers.clear()
        predecessors = older.cells
        nextAskMs = 0
        askIntervalMs = ASK_INTERVAL_MS
    }

    /** Re-evaluates and asks those that have not answered; call it every 50 ms or so. */
    fun onTick(nowMs: Long): List<Effect> {
        val standing = standing ?: return emptyList()
        older.expire(nowMs, standing, if (safeguards.takeoverWait) expiryMs() else 0)
        if (!standing.mayAcquire(nowMs)) return emptyList()
        isAnchored = true
        evaluate(nowMs, standing)
        if (nowMs < nextAskMs) return emptyList()
        val missing = if (isWhole) generations.unconfirmed(standing.cell) else targets(standing) - inbox.complete
        nextAskMs = nowMs + askIntervalMs
        askIntervalMs = (askIntervalMs * 2).coerceAtMost(MAX_ASK_INTERVAL_MS)
        return missing.map { Effect.Send(it, HandoverAsk(kind, standing.revision.value, isStarting, generations.own)) }
    }

    private fun evaluate(
        nowMs: Long,
        standing: Standing,
    ) {
        if (isWhole) return
        if (isStarting) evaluateStart(nowMs, standing)
        if (!isStarting && inbox.complete.containsAll(targets(standing))) becomeWhole(standing)
    }

    private fun evaluateStart(
        nowMs: Long,
        standing: Standing,
    ) {
        val sinceMs = standing.settledSinceMs
        val all = targets(standing)
        when {
            sinceMs != null && nowMs >= maxOf(sinceMs, waitFromMs) + expiryMs() -> {
                older.clear()
                isStarting = false
                becomeWhole(standing)
            }
            isLapseHarmless(nowMs, standing) -> restore()
            all.isNotEmpty() && inbox.complete.containsAll(all) && !hasPredecessor() -> {
                isStarting = false
                becomeWhole(standing)
            }
        }
    }

    /** The time from a list's end to that of all grants under it; a member that joins is granted for longer by former homes. */
    private fun expiryMs(): Long {
        val isJoining = isStarting || older.cells.any { self.id !in it.liveIds() }
        return if (isJoining) waitMs + lapseMs else waitMs
    }

    private fun hasPredecessor() = inbox.isIncumbent || older.cells.any { self.id in it.liveIds() }

    /** Nobody took over during a lapse if a vouching quorum that ran all the time knows of no newer list. */
    private fun isLapseHarmless(
        nowMs: Long,
        standing: Standing,
    ): Boolean {
        val lapse = lapse ?: return false
        if (lapse.revision != standing.revision) return false
        val members = standing.cell.members.mapTo(HashSet()) { it.id }
        return inbox.countRunningSince(nowMs, lapse.untilMs - lapseMs, members) >= standing.cell.vouchQuorum - 1
    }

    private fun restore() {
        val lapse = checkNotNull(lapse) { "no lapse to return from" }
        isStarting = false
        wasWhole = lapse.wasWhole
        isWhole = lapse.isWhole
        this.lapse = null
    }

    private fun becomeWhole(standing: Standing) {
        isWhole = true
        lapse = null
        wholeRevision = standing.revision.value
        nextAskMs = 0
    }

    /** The members whose handover this process needs; a process that was live all along gets something only from those that left. */
    private fun targets(standing: Standing): Set<InstanceId> {
        val live = standing.cell.liveIds()
        val former = older.cells.map { it.liveIds() }
        val gone = former.flatMapTo(LinkedHashSet()) { it } - live
        return if (!isStarting && former.all { self.id in it }) gone else gone + live - self.id
    }

    /** Returns whether this process is the home of [resource] and has all that its former homes granted. */
    fun owns(
        resource: Resource,
        nowMs: Long,
    ): Boolean {
        val standing = standing ?: return false
        if (!standing.mayAct(nowMs) || standing.rightEpoch != rightEpoch) return false
        val homes = standing.homesOf(resource, replicas)
        if (self.id !in homes) return false
        if (isWhole) return true
        if (isStarting || older.cells.any { self.id !in it.liveIds() }) return false
        val former = older.formerHomes(resource, replicas, homes)
        return former.isEmpty() || (isAnchored && inbox.complete.containsAll(former))
    }

    /** Returns whether this process, the former home of [resource], goes on until the new home asks it to hand over. */
    fun ownsUntilAsked(
        resource: Resource,
        nowMs: Long,
    ): Boolean {
        val standing = standing ?: return false
        val before = older.latest ?: return false
        val isHeld = wasWhole && !isStarting && standing.mayAct(nowMs)
        if (!isHeld || before.homeOf(resource) != self.id) return false
        val home = standing.homeOf(resource) ?: return false
        val settledMs = standing.settledSinceMs
        val isInTime = settledMs == null || (home !in before.liveIds() && nowMs < settledMs + lapseMs)
        return isInTime && home != self.id && home !in askers
    }

    /** Returns the home of [resource] under the list before, which may hold it still, or null if that is not known. */
    fun formerHome(resource: Resource): InstanceId? =
        (older.latest ?: predecessors.lastOrNull() ?: standing?.unsettled?.lastOrNull())?.homeOf(resource)

    /** Returns the answer to [ask] without records, or null if it was asked under another list. */
    fun answer(
        nowMs: Long,
        from: PeerId,
        ask: HandoverAsk,
    ): HandoverAnswer? {
        val standing = standing ?: return null
        if (ask.revision != standing.revision.value) return null
        val earlier = askers.put(from.id, from.incarnation)
        if (earlier != null && earlier != from.incarnation) askers[from.id] = earlier
        val isIncumbent = (earlier ?: from.incarnation) != from.incarnation || predecessors.any { from.id in it.liveIds() }
        return HandoverAnswer(
            kind = kind,
            revision = ask.revision,
            to = from.incarnation.value,
            isWhole = (wasWhole || isWhole) && !isStarting && standing.mayAct(nowMs) && standing.rightEpoch == rightEpoch,
            isIncumbent = isIncumbent,
            memoryMs = nowMs - startedMs,
            generation = generations.register(from, ask.generation),
            older = if (ask.isStarting || !wasWhole) predecessors.map { InstanceList(it.revision, it.members) } else emptyList(),
        )
    }

    /** Takes an answer's header; returns whether its records are for this process under the list in force. */
    fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: HandoverAnswer,
    ): Boolean {
        val standing = standing ?: return false
        if (answer.to != self.incarnation.value || answer.revision != standing.revision.value) return false
        inbox.add(nowMs, from, answer)
        generations.onAnswer(from, answer.generation)
        answer.older.filter { it.revision < standing.revision }.forEach { older.add(CellList(it.revision, it.members)) }
        if (isStarting && lapse == null) predecessors = older.cells
        return true
    }

    /** Returns whether every live member has asked this process for its handover, so that it may stop. */
    fun isHandedOver(): Boolean {
        val standing = standing ?: return true
        return self.id !in standing.cell.liveIds() && askers.keys.containsAll(standing.cell.liveIds())
    }

    private companion object {
        const val ASK_INTERVAL_MS = 100L
        const val MAX_ASK_INTERVAL_MS = 1_600L
    }
}
