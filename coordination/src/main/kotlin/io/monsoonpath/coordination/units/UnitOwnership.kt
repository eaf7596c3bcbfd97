package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.HandedOverUnit
import io.monsoonpath.coordination.message.UnitHandover
import io.monsoonpath.coordination.message.UnitHandoverRequest
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId

/**
 * Acquires the units that this instance owns and hands over those that have a new owner.
 *
 * A unit is acquired with the level that was handed over, once each former owner has handed it over or answered that it does not hold
 * it. Otherwise it is acquired empty, once no instance can use it under an older instance list any more. If the lease lapses, all
 * units are dropped.
 */
internal class UnitOwnership(
    private val self: PeerId,
    private val region: Region,
    private val maxAgeMs: Long,
    private val workspaces: Collection<WorkspaceLimit>,
    private val safeguards: Safeguards,
) {
    private class MissingUnit(
        val workspace: WorkspaceLimit,
        val unit: Int,
        val formerOwners: Set<InstanceId>,
    )

    private class SentRequest(
        val peer: InstanceId,
        val sentAtMs: Long,
    )

    private data class UnitKey(
        val workspace: WorkspaceId,
        val unit: Int,
    )

    private var snapshot: MembershipSnapshot? = null
    private var missingUnits = emptyList<MissingUnit>()
    private var movingWorkspaces = emptySet<WorkspaceLimit>()
    private val sentRequests = HashMap<Long, SentRequest>()
    private val receivedParts = HashMap<Long, HashSet<Int>>()
    private val releasedBy = HashSet<InstanceId>()
    private val handedLevels = HashMap<UnitKey, Long>()
    private val deferredRequests = HashMap<InstanceId, Pair<PeerId, UnitHandoverRequest>>()
    private var requestCount = 0L
    private var lastRequestMs = NEVER_MS

    /** Returns whether this instance owns units of [workspace] that it has not acquired yet. */
    fun isMoving(workspace: WorkspaceLimit): Boolean = workspace in movingWorkspaces

    /** Returns the instances that hold units of [workspace] according to the instance lists in use. */
    fun holdersOf(workspace: WorkspaceLimit): UnitHolders {
        val current = snapshot ?: return UnitHolders(emptyMap(), emptyMap(), emptySet())
        return workspace.holders ?: current.holdersOf(workspace).also { workspace.holders = it }
    }

    /** Applies a new snapshot of the membership. */
    fun onMembershipChange(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> {
        val previous = snapshot
        snapshot = next
        val isLapsed = previous != null && previous.leaseEpoch != next.leaseEpoch
        val isNewList = previous?.revision != next.revision
        val isChanged = isLapsed || isNewList || previous?.unsettled != next.unsettled
        if (isLapsed) workspaces.forEach { drop(nowMs, it) }
        if (isNewList) workspaces.forEach { updateOwners(it, next.cell) }
        if (isNewList || isLapsed) clearHandovers()
        if (isChanged) reevaluate(nowMs, next)
        acquireUnits(nowMs, next)
        return (if (isChanged) answerDeferred(nowMs, next) else emptyList()) + requestHandovers(nowMs, next)
    }

    private fun reevaluate(
        nowMs: Long,
        current: MembershipSnapshot,
    ) {
        workspaces.forEach { restrictUse(nowMs, it, current) }
        findMissing(current)
        lastRequestMs = NEVER_MS
    }

    /** Acquires units of workspaces that a new configuration added. */
    fun onWorkspacesChanged(nowMs: Long) {
        val current = snapshot ?: return
        workspaces.forEach { updateOwners(it, current.cell) }
        findMissing(current)
        acquireUnits(nowMs, current)
    }

    /** Acquires units that are free by now and repeats unanswered handover requests. */
    fun onTick(nowMs: Long): List<Effect> {
        val current = snapshot ?: return emptyList()
        acquireUnits(nowMs, current)
        return requestHandovers(nowMs, current)
    }

    /** Closes all units of [workspace] that are held here. */
    fun drop(
        nowMs: Long,
        workspace: WorkspaceLimit,
    ) {
        workspace.held.buckets.forEach { it?.close(nowMs) }
        workspace.held = HeldUnits(0, arrayOfNulls(UNIT_COUNT))
    }

    /** Answers the request of a new owner, immediately or when the instance list that it names is in use here. */
    fun onHandoverRequest(
        nowMs: Long,
        from: PeerId,
        request: UnitHandoverRequest,
    ): List<Effect> {
        val current = snapshot
        deferredRequests[from.id] = from to request
        return if (current == null) emptyList() else answerDeferred(nowMs, current)
    }

    /** Handles the answer of a former owner. If it is late, the units are released but their levels are discarded. */
    fun onHandover(
        nowMs: Long,
        from: PeerId,
        message: UnitHandover,
    ) {
        val current = snapshot ?: return
        val request = sentRequests[message.request] ?: return
        if (request.peer != from.id) return
        if (nowMs - request.sentAtMs <= maxAgeMs) {
            for (entry in message.units) handedLevels.merge(UnitKey(WorkspaceId(entry.workspace), entry.unit), entry.level, ::maxOf)
        }
        val parts = receivedParts.getOrPut(message.request) { HashSet() }
        parts += message.partIndex
        if (parts.size >= message.partCount) {
            sentRequests -= message.request
            releasedBy += from.id
            acquireUnits(nowMs, current)
        }
    }

    private fun answerDeferred(
        nowMs: Long,
        current: MembershipSnapshot,
    ): List<Effect> {
        val answerable = deferredRequests.values.filter { (_, request) -> request.revision <= current.revision.value }
        answerable.forEach { (from, _) -> deferredRequests -= from.id }
        return answerable.filter { (_, request) -> request.revision == current.revision.value }.flatMap { (from, request) ->
            handOver(nowMs, current, from, request)
        }
    }

    private fun handOver(
        nowMs: Long,
        current: MembershipSnapshot,
        to: PeerId,
        request: UnitHandoverRequest,
    ): List<Effect> {
        val units = workspaces.flatMap { workspace -> releaseUnits(nowMs, current, workspace, to.id) }
        val parts = units.chunked(UNITS_PER_MESSAGE).ifEmpty { listOf(emptyList()) }
        return parts.mapIndexed { i, part -> Effect.Send(to.id, UnitHandover(request.request, i, parts.size, part)) }
    }

    private fun releaseUnits(
        nowMs: Long,
        current: MembershipSnapshot,
        workspace: WorkspaceLimit,
        to: InstanceId,
    ): List<HandedOverUnit> {
        val held = workspace.held
        if (held.count == 0) return emptyList()
        val units = ArrayList<HandedOverUnit>()
        for (unit in 0 until UNIT_COUNT) {
            val bucket = held.buckets[unit] ?: continue
            if (workspace.owners[unit] != to) continue
            val isUsable = current.mayAct(nowMs) && held.epoch == current.leaseEpoch && nowMs < bucket.usableUntilMs
            val level = if (safeguards.handoverCloses) bucket.close(nowMs) else bucket.level(nowMs)
            if (safeguards.handoverCloses) workspace.setBucket(unit, held.epoch, null)
            if (isUsable) units += HandedOverUnit(workspace.id.value, unit, level)
        }
        return units
    }

    private fun updateOwners(
        workspace: WorkspaceLimit,
        cell: CellMembers,
    ) {
        workspace.owners = Array(UNIT_COUNT) { cell.homeOf(workspace.resourceOf(it)) }
        workspace.holders = null
        workspace.clearHints()
    }

    private fun clearHandovers() {
        sentRequests.clear()
        receivedParts.clear()
        releasedBy.clear()
        handedLevels.clear()
    }

    /**
     * Limits the use of units that have a new owner to the lease under the previous instance list.
     *
     * Units that another instance owned under some list since they were acquired here are dropped, as it may have acquired them.
     */
    private fun restrictUse(
        nowMs: Long,
        workspace: WorkspaceLimit,
        current: MembershipSnapshot,
    ) {
        workspace.holders = null
        val held = workspace.held
        if (held.count == 0) return
        for (unit in 0 until UNIT_COUNT) {
            val bucket = held.buckets[unit] ?: continue
            val isOwner = workspace.owners[unit] == self.id
            val isEnding = bucket.usableUntilMs != Long.MAX_VALUE
            when {
                isEnding && !isOwner -> Unit
                isEnding || wasOwnedElsewhere(workspace, unit, current) -> dropUnit(nowMs, workspace, unit)
                !isOwner -> bucket.usableUntilMs = current.formerLeaseUntilMs
            }
        }
    }

    private fun wasOwnedElsewhere(
        workspace: WorkspaceLimit,
        unit: Int,
        current: MembershipSnapshot,
    ): Boolean =
        current.unsettled.any { list ->
            list.revision.value > workspace.heldSinceRevision[unit] && list.homeOf(workspace.resourceOf(unit)) != self.id
        }

    private fun dropUnit(
        nowMs: Long,
        workspace: WorkspaceLimit,
        unit: Int,
    ) {
        workspace.held.buckets[unit]?.close(nowMs)
        workspace.setBucket(unit, workspace.held.epoch, null)
    }

    private fun findMissing(current: MembershipSnapshot) {
        val found = ArrayList<MissingUnit>()
        for (workspace in workspaces) {
            if (region !in workspace.limits) continue
            for (unit in 0 until UNIT_COUNT) {
                if (workspace.owners[unit] != self.id || workspace.held.buckets[unit] != null) continue
                found += MissingUnit(workspace, unit, current.formerHomesOf(workspace.resourceOf(unit)))
            }
        }
        missingUnits = found
        updateMoving()
    }

    private fun acquireUnits(
        nowMs: Long,
        current: MembershipSnapshot,
    ) {
        if (missingUnits.isEmpty() || !current.mayAcquire(nowMs)) return
        missingUnits =
            missingUnits.filterNot {
                val isFree = current.takeoverSinceMs() != null || releasedBy.containsAll(it.formerOwners)
                if (isFree) acquireUnit(nowMs, current, it)
                isFree
            }
        updateMoving()
    }

    private fun updateMoving() {
        movingWorkspaces = missingUnits.mapTo(HashSet()) { it.workspace }
    }

    private fun acquireUnit(
        nowMs: Long,
        current: MembershipSnapshot,
        unit: MissingUnit,
    ) {
        val level = handedLevels.remove(UnitKey(unit.workspace.id, unit.unit)) ?: 0
        unit.workspace.heldSinceRevision[unit.unit] = current.revision.value
        unit.workspace.setBucket(unit.unit, current.leaseEpoch, UnitBucket(unit.workspace.limits.getValue(region), level, nowMs))
    }

    /** Requests handovers only when this instance may acquire units. Until then the former owners can still use them. */
    private fun requestHandovers(
        nowMs: Long,
        current: MembershipSnapshot,
    ): List<Effect> {
        if (missingUnits.isEmpty() || !current.mayAcquire(nowMs) || nowMs - lastRequestMs < RETRY_MS) return emptyList()
        lastRequestMs = nowMs
        val formerOwners = missingUnits.flatMapTo(LinkedHashSet()) { it.formerOwners } - releasedBy
        return formerOwners.map { former ->
            val number = self.incarnation.value + requestCount++
            sentRequests[number] = SentRequest(former, nowMs)
            Effect.Send(former, UnitHandoverRequest(number, current.revision.value))
        }
    }

    private fun MembershipSnapshot.holdersOf(workspace: WorkspaceLimit): UnitHolders {
        val others =
            list
                ?.members
                .orEmpty()
                .filter { it.region != region && it.region in workspace.limits }
                .groupBy { it.region }
        val isSharing = region in workspace.limits
        return UnitHolders(
            ownCell = if (isSharing) workspace.holdersIn(cell, workspace.limits.getValue(region)) else emptyMap(),
            otherCells =
                others.entries.fold(emptyMap()) { found, (region, members) ->
                    found + workspace.holdersIn(CellMembers(revision, members), workspace.limits.getValue(region))
                },
            former = unsettled.flatMapTo(LinkedHashSet()) { cell -> workspace.resources.mapNotNull { cell.homeOf(it) } },
        )
    }

    private fun WorkspaceLimit.holdersIn(
        cell: CellMembers,
        limit: UnitLimit,
    ): Map<InstanceId, UnitLimit> =
        resources
            .mapNotNull { cell.homeOf(it) }
            .groupingBy { it }
            .eachCount()
            .mapValues { (_, units) -> limit * units }

    private companion object {
        const val RETRY_MS = 50L
        const val NEVER_MS = Long.MIN_VALUE / 2
        const val UNITS_PER_MESSAGE = 200
    }
}
