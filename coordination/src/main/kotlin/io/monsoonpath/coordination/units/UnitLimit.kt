package io.monsoonpath.coordination.units

import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceSpec

private const val FULL_SHARE_PERMILLE = 1_000
private const val MICROS_PER_TOKEN = 1_000_000L

/** The number of token buckets that a region's share of a workspace's limit is cut into. */
const val UNIT_COUNT = 16

/**
 * One whole token as an amount.
 *
 * Amounts count sixteenths of thousandths of micro-requests: with that scale the division of a limit by regions and units needs no
 * rounding, because a unit's rate and capacity are the workspace's own numbers times the region's share.
 */
const val TOKEN = MICROS_PER_TOKEN * FULL_SHARE_PERMILLE * UNIT_COUNT

/** The limit of one unit: [ratePerMs] and [capacity] are amounts. */
internal data class UnitLimit(
    val ratePerMs: Long,
    val capacity: Long,
) {
    /** Returns the level after [elapsedMs] of refilling from [level], without overflow. */
    fun refill(
        level: Long,
        elapsedMs: Long,
    ): Long =
        when {
            level >= capacity || elapsedMs <= 0 -> level
            ratePerMs > 0 && elapsedMs > (capacity - level) / ratePerMs -> capacity
            else -> level + elapsedMs * ratePerMs
        }
}

/** Returns the limit of all of [units] such units. */
internal operator fun UnitLimit.times(units: Int) = UnitLimit(ratePerMs * units, capacity * units)

/** Returns the limit of each unit by region, where [defaultRegion] holds all of a workspace without shares. */
internal fun WorkspaceSpec.unitLimits(defaultRegion: Region): Map<Region, UnitLimit> {
    val shares = regionShares.filterValues { it > 0 }.ifEmpty { mapOf(defaultRegion to FULL_SHARE_PERMILLE) }
    return shares.mapValues { (_, share) -> UnitLimit(ratePerMs = rateMilliPerS * share, capacity = burst * MICROS_PER_TOKEN * share) }
}
