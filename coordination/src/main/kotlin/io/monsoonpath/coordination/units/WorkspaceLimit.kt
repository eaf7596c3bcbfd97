package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId

/** The units of one workspace that are held here, for the request path: replaced as a whole, never changed. */
internal class HeldUnits(
    val epoch: Long,
    val buckets: Array<UnitBucket?>,
) {
    /** The number of units held. */
    val count = buckets.count { it != null }
}

/** What one instance keeps about a workspace's limit; only the volatile fields are read on the request path. */
internal class WorkspaceLimit(
    val id: WorkspaceId,
) {
    @Volatile
    var held = HeldUnits(0, arrayOfNulls(UNIT_COUNT))

    /** Until when all units were seen to be too empty for one token. */
    @Volatile
    var emptyUntilMs = Long.MIN_VALUE

    /** When a request last gave back what it had or had too much of, on the own clock. */
    var lastRefundMs = Long.MIN_VALUE / 2

    /** The limit of each unit, by region; regions without a share are left out. */
    var limits = emptyMap<Region, UnitLimit>()

    /** What all units of all regions refill in a millisecond. */
    val totalRatePerMs: Long get() = limits.values.sumOf { it.ratePerMs * UNIT_COUNT }
    val resources = Array(UNIT_COUNT) { resourceOf("unit", id.value, it) }
    val heldSinceRevision = LongArray(UNIT_COUNT)
    var owners = arrayOfNulls<InstanceId>(UNIT_COUNT)
    var holders: UnitHolders? = null
    private val hints = HashMap<InstanceId, LevelHint>()

    /** Returns the resource that names [unit]. */
    fun resourceOf(unit: Int): Resource = resources[unit]

    /** Puts [bucket] in the place of [unit]. */
    fun setBucket(
        unit: Int,
        epoch: Long,
        bucket: UnitBucket?,
    ) {
        val copy = if (held.epoch == epoch) held.buckets.copyOf() else arrayOfNulls(UNIT_COUNT)
        copy[unit] = bucket
        held = HeldUnits(epoch, copy)
    }

    /** Notes that [peer] has [level] left in all its units. */
    fun recordLevel(
        peer: InstanceId,
        nowMs: Long,
        level: Long,
    ) {
        hints[peer] = LevelHint(level, nowMs)
    }

    /** Returns what [peer] is expected to have where [total] is the limit of all its units; one that was never asked counts as full. */
    fun expectedLevel(
        peer: InstanceId,
        total: UnitLimit,
        nowMs: Long,
    ): Long = hints[peer]?.let { total.refill(it.level, nowMs - it.atMs) } ?: total.capacity

    /** Forgets what peers had, because units have moved. */
    fun clearHints() = hints.clear()
}

private class LevelHint(
    val level: Long,
    val atMs: Long,
)

/** Who holds a workspace's units in [own] cell and in others, each with the limit of all its units, and the [former] homes of this cell. */
internal class UnitHolders(
    val ownCell: Map<InstanceId, UnitLimit>,
    val otherCells: Map<InstanceId, UnitLimit>,
    val former: Set<InstanceId>,
)
