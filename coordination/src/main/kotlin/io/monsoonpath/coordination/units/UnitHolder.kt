package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellList
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.membership.Standing
import io.monsoonpath.coordination.message.HandedUnit
import io.monsoonpath.coordination.message.Handover
import io.monsoonpath.coordination.message.RequestHandover
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId

/**
 * Acquires the units that this instance is the home of, and hands over those that moved.
 *
 * A unit is acquired once each former home has handed it over or disclaimed it, with the level that came; or once the membership has
 * settled all older lists, empty. A lapsed right drops everything.
 */
internal class UnitHolder(
    private val self: PeerId,
    private val region: Region,
    private val maxAgeMs: Long,
    private val workspaces: Collection<WorkspaceLimit>,
    private val safeguards: Safeguards,
) {
    private class Missing(
        val workspace: WorkspaceLimit,
        val unit: Int,
        val formers: Set<InstanceId>,
    )

    private class Request(
        val peer: InstanceId,
        val sentAtMs: Long,
    )

    private data class UnitKey(
        val workspace: WorkspaceId,
        val unit: Int,
    )

    private var standing: Standing? = null
    private var missing = emptyList<Missing>()
    private var moving = emptySet<WorkspaceLimit>()
    private val requests = HashMap<Long, Request>()
    private val partsDone = HashMap<Long, HashSet<Int>>()
    private val released = HashSet<InstanceId>()
    private val handed = HashMap<UnitKey, Long>()
    private val waiting = HashMap<InstanceId, Pair<PeerId, RequestHandover>>()
    private var requestCount = 0L
    private var requestedAtMs = 0L

    /** Returns whether units of [workspace] are on their way here. */
    fun isMoving(workspace: WorkspaceLimit): Boolean = workspace in moving

    /** Returns who holds units of [workspace], by the lists in force. */
    fun holdersOf(workspace: WorkspaceLimit): Holders {
        val now = standing ?: return Holders(emptyMap(), emptyMap(), emptySet())
        return workspace.holders ?: now.holdersOf(workspace).also { workspace.holders = it }
    }

    fun onStanding(
        nowMs: Long,
        next: Standing,
    ): List<Effect> {
        val before = standing
        standing = next
        val isLapsed = before != null && before.rightEpoch != next.rightEpoch
        val isListed = before == null || before.revision != next.revision
        val isChanged = isListed || before?.unsettled != next.unsettled || isLapsed
        if (isLapsed) workspaces.forEach { drop(nowMs, it) }
        if (isListed) workspaces.forEach { rehome(it, next.cell) }
        if (isListed || isLapsed) forgetHandovers()
        if (isChanged) {
            workspaces.forEach { limitUse(nowMs, it, next) }
            findMissing(next)
        }
        acquire(nowMs, next)
        return if (isChanged) answerWaiting(nowMs, next) + requestHandovers(nowMs, next) else emptyList()
    }

    /** Takes up workspaces that a configuration brought. */
    fun onWorkspacesChanged(nowMs: Long) {
        val now = standing ?: return
        workspaces.forEach { rehome(it, now.cell) }
        findMissing(now)
        acquire(nowMs, now)
    }

    fun onTick(nowMs: Long): List<Effect> {
        val now = standing ?: return emptyList()
        acquire(nowMs, now)
        return if (missing.isNotEmpty() && nowMs - requestedAtMs >= RETRY_MS) requestHandovers(nowMs, now) else emptyList()
    }

    /** Closes all units of [workspace]. */
    fun drop(
        nowMs: Long,
        workspace: WorkspaceLimit,
    ) {
        workspace.held.buckets.forEach { it?.close(nowMs) }
        workspace.held = HeldUnits(0, arrayOfNulls(UNITS))
    }

    /** Answers a new home's request, now or once the list that it names has come. */
    fun onRequest(
        nowMs: Long,
        from: PeerId,
        request: RequestHandover,
    ): List<Effect> {
        val now = standing
        waiting[from.id] = from to request
        return if (now == null) emptyList() else answerWaiting(nowMs, now)
    }

    /** Takes the units that a former home handed over; a late answer releases them without their level. */
    fun onHandover(
        nowMs: Long,
        from: PeerId,
        message: Handover,
    ) {
        val now = standing ?: return
        val request = requests[message.request] ?: return
        if (request.peer != from.id) return
        if (nowMs - request.sentAtMs <= maxAgeMs) {
            for (entry in message.units) handed.merge(UnitKey(WorkspaceId(entry.workspace), entry.unit), entry.level, ::maxOf)
        }
        val parts = partsDone.getOrPut(message.request) { HashSet() }
        parts += message.part
        if (parts.size >= message.parts) {
            requests -= message.request
            released += from.id
            acquire(nowMs, now)
        }
    }

    private fun answerWaiting(
        nowMs: Long,
        now: Standing,
    ): List<Effect> {
        val answerable = waiting.values.filter { (_, request) -> request.revision <= now.revision.value }
        answerable.forEach { (from, _) -> waiting -= from.id }
        return answerable.filter { (_, request) -> request.revision == now.revision.value }.flatMap { (from, request) ->
            handOver(nowMs, now, from, request)
        }
    }

    private fun handOver(
        nowMs: Long,
        now: Standing,
        to: PeerId,
        request: RequestHandover,
    ): List<Effect> {
        val units = workspaces.flatMap { workspace -> release(nowMs, now, workspace, to.id) }
        val parts = units.chunked(UNITS_PER_MESSAGE).ifEmpty { listOf(emptyList()) }
        return parts.mapIndexed { i, part -> Effect.Send(to.id, Handover(request.request, i, parts.size, part)) }
    }

    private fun release(
        nowMs: Long,
        now: Standing,
        workspace: WorkspaceLimit,
        to: InstanceId,
    ): List<HandedUnit> {
        val held = workspace.held
        if (held.count == 0) return emptyList()
        val units = ArrayList<HandedUnit>()
        for (unit in 0 until UNITS) {
            val bucket = held.buckets[unit] ?: continue
            if (workspace.homes[unit] != to) continue
            val isUsable = now.mayAct(nowMs) && held.epoch == now.rightEpoch && nowMs < bucket.untilMs
            val level = if (safeguards.handoverCloses) bucket.close(nowMs) else bucket.level(nowMs)
            if (safeguards.handoverCloses) workspace.put(unit, held.epoch, null)
            if (isUsable) units += HandedUnit(workspace.id.value, unit, level)
        }
        return units
    }

    private fun rehome(
        workspace: WorkspaceLimit,
        cell: CellList,
    ) {
        workspace.homes = Array(UNITS) { cell.homeOf(workspace.resourceOf(it)) }
        workspace.holders = null
        workspace.forgetHints()
    }

    private fun forgetHandovers() {
        requests.clear()
        partsDone.clear()
        released.clear()
        handed.clear()
    }

    /**
     * Ends the use of units that have another home now, with the right under which they were held.
     *
     * Units that had another home in a list since they were acquired are dropped: that one may have taken them over.
     */
    private fun limitUse(
        nowMs: Long,
        workspace: WorkspaceLimit,
        now: Standing,
    ) {
        workspace.holders = null
        val held = workspace.held
        if (held.count == 0) return
        for (unit in 0 until UNITS) {
            val bucket = held.buckets[unit] ?: continue
            val isHome = workspace.homes[unit] == self.id
            val isEnding = bucket.untilMs != Long.MAX_VALUE
            when {
                isEnding && !isHome -> Unit
                isEnding || wasInterrupted(workspace, unit, now) -> dropUnit(nowMs, workspace, unit)
                !isHome -> bucket.untilMs = now.formerUntilMs
            }
        }
    }

    private fun wasInterrupted(
        workspace: WorkspaceLimit,
        unit: Int,
        now: Standing,
    ): Boolean =
        now.unsettled.any { list ->
            list.revision.value > workspace.heldSinceRevision[unit] && list.homeOf(workspace.resourceOf(unit)) != self.id
        }

    private fun dropUnit(
        nowMs: Long,
        workspace: WorkspaceLimit,
        unit: Int,
    ) {
        workspace.held.buckets[unit]?.close(nowMs)
        workspace.put(unit, workspace.held.epoch, null)
    }

    private fun findMissing(now: Standing) {
        val found = ArrayList<Missing>()
        for (workspace in workspaces) {
            if (region !in workspace.limits) continue
            for (unit in 0 until UNITS) {
                if (workspace.homes[unit] != self.id || workspace.held.buckets[unit] != null) continue
                found += Missing(workspace, unit, now.formerHomesOf(workspace.resourceOf(unit)))
            }
        }
        missing = found
        noteMoving()
    }

    private fun acquire(
        nowMs: Long,
        now: Standing,
    ) {
        if (missing.isEmpty() || !now.mayAcquire(nowMs)) return
        missing =
            missing.filterNot {
                val isFree = now.takeoverSinceMs() != null || released.containsAll(it.formers)
                if (isFree) acquire(nowMs, now, it)
                isFree
            }
        noteMoving()
    }

    private fun noteMoving() {
        moving = missing.mapTo(HashSet()) { it.workspace }
    }

    private fun acquire(
        nowMs: Long,
        now: Standing,
        unit: Missing,
    ) {
        val level = handed.remove(UnitKey(unit.workspace.id, unit.unit)) ?: 0
        unit.workspace.heldSinceRevision[unit.unit] = now.revision.value
        unit.workspace.put(unit.unit, now.rightEpoch, UnitBucket(unit.workspace.limits.getValue(region), level, nowMs))
    }

    private fun requestHandovers(
        nowMs: Long,
        now: Standing,
    ): List<Effect> {
        requestedAtMs = nowMs
        val formers = missing.flatMapTo(LinkedHashSet()) { it.formers } - released
        return formers.map { former ->
            val number = self.incarnation.value + requestCount++
            requests[number] = Request(former, nowMs)
            Effect.Send(former, RequestHandover(number, now.revision.value))
        }
    }

    private fun Standing.holdersOf(workspace: WorkspaceLimit): Holders {
        val others =
            list
                ?.members
                .orEmpty()
                .filter { it.region != region && it.region in workspace.limits }
                .groupBy { it.region }
        val isSharing = region in workspace.limits
        return Holders(
            own = if (isSharing) workspace.holdersIn(cell, workspace.limits.getValue(region)) else emptyMap(),
            otherCells =
                others.entries.fold(emptyMap()) { found, (region, members) ->
                    found + workspace.holdersIn(CellList(revision, members), workspace.limits.getValue(region))
                },
            former = unsettled.flatMapTo(LinkedHashSet()) { cell -> workspace.resources.mapNotNull { cell.homeOf(it) } },
        )
    }

    private fun WorkspaceLimit.holdersIn(
        cell: CellList,
        limit: UnitLimit,
    ): Map<InstanceId, UnitLimit> =
        resources
            .mapNotNull { cell.homeOf(it) }
            .groupingBy { it }
            .eachCount()
            .mapValues { (_, units) -> limit * units }

    private companion object {
        const val RETRY_MS = 50L
        const val UNITS_PER_MESSAGE = 200
    }
}
