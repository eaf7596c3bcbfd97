package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId

/**
 * The units of one workspace that this instance holds, for the request path. The object is replaced as a whole and never modified.
 *
 * @property epoch the epoch of the lease under which the units were acquired
 * @property buckets the bucket of each unit, or null if the unit is not held
 */
internal class HeldUnits(
    val epoch: Long,
    val buckets: Array<UnitBucket?>,
) {
    /** The number of units held. */
    val count = buckets.count { it != null }
}

/** The state of a workspace's limit in one instance. The request path reads only the volatile properties. */
internal class WorkspaceLimit(
    val id: WorkspaceId,
) {
    @Volatile
    var held = HeldUnits(0, arrayOfNulls(UNIT_COUNT))

    /** The time until which all units together are expected to have less than one token. */
    @Volatile
    var emptyUntilMs = Long.MIN_VALUE

    /** When a query last refunded a partial or surplus amount, on the own clock. */
    var lastRefundMs = Long.MIN_VALUE / 2

    /** The limit of each unit by region. Regions without a share are absent. */
    var limits = emptyMap<Region, UnitLimit>()

    /** The amount by which all units of all regions are refilled in one millisecond. */
    val totalRatePerMs: Long get() = limits.values.sumOf { it.ratePerMs * UNIT_COUNT }
    val resources = Array(UNIT_COUNT) { resourceOf("unit", id.value, it) }
    val heldSinceRevision = LongArray(UNIT_COUNT)
    var owners = arrayOfNulls<InstanceId>(UNIT_COUNT)
    var holders: UnitHolders? = null
    private val hints = HashMap<InstanceId, LevelHint>()

    /** Returns the resource that determines the owner of [unit]. */
    fun resourceOf(unit: Int): Resource = resources[unit]

    /** Sets the bucket of [unit]. Buckets of another [epoch] than the held one are removed. */
    fun setBucket(
        unit: Int,
        epoch: Long,
        bucket: UnitBucket?,
    ) {
        val copy = if (held.epoch == epoch) held.buckets.copyOf() else arrayOfNulls(UNIT_COUNT)
        copy[unit] = bucket
        held = HeldUnits(epoch, copy)
    }

    /** Records that the units of [peer] have [level] in total at [nowMs]. */
    fun recordLevel(
        peer: InstanceId,
        nowMs: Long,
        level: Long,
    ) {
        hints[peer] = LevelHint(level, nowMs)
    }

    /**
     * Returns the level that the units of [peer], with the limit [total], are expected to have at [nowMs].
     *
     * Without a recorded level the units are assumed to be full.
     */
    fun expectedLevel(
        peer: InstanceId,
        total: UnitLimit,
        nowMs: Long,
    ): Long = hints[peer]?.let { total.refill(it.level, nowMs - it.atMs) } ?: total.capacity

    /** Removes the recorded levels of peers, which are invalid after units have moved. */
    fun clearHints() = hints.clear()
}

private class LevelHint(
    val level: Long,
    val atMs: Long,
)

/**
 * The instances that hold the units of a workspace.
 *
 * @property ownCell the owners in the cell of this instance, each with the total limit of its units
 * @property otherCells the same for the cells of other regions
 * @property former the owners in this cell under older instance lists, which may still hold units
 */
internal class UnitHolders(
    val ownCell: Map<InstanceId, UnitLimit>,
    val otherCells: Map<InstanceId, UnitLimit>,
    val former: Set<InstanceId>,
)
