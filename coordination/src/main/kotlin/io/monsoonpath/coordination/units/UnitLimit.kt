package io.monsoonpath.coordination.units

import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceSpec

private const val FULL_SHARE_PERMILLE = 1_000
private const val MICROS_PER_TOKEN = 1_000_000L

/** The number of units into which a region's share of a workspace's limit is split. Each unit is one token bucket. */
const val UNIT_COUNT = 16

/**
 * The amount of one token, which admits one request.
 *
 * Amounts are counted in 1/16,000 of a millionth of a token. At this scale a limit is divided among regions and units without
 * rounding: the rate and capacity of a unit are those of the workspace times the region's share in thousandths.
 */
const val TOKEN = MICROS_PER_TOKEN * FULL_SHARE_PERMILLE * UNIT_COUNT

/** The limit of one unit: the refill [ratePerMs] per millisecond and the [capacity], both as amounts in the scale of [TOKEN]. */
internal data class UnitLimit(
    val ratePerMs: Long,
    val capacity: Long,
) {
    /** Returns the level after [level] was refilled for [elapsedMs]. The calculation does not overflow. */
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

/** Returns the total limit of [units] such units. */
internal operator fun UnitLimit.times(units: Int) = UnitLimit(ratePerMs * units, capacity * units)

/** Returns the limit of each unit by region. A workspace without region shares belongs to [defaultRegion] as a whole. */
internal fun WorkspaceSpec.unitLimits(defaultRegion: Region): Map<Region, UnitLimit> {
    val shares = regionShares.filterValues { it > 0 }.ifEmpty { mapOf(defaultRegion to FULL_SHARE_PERMILLE) }
    return shares.mapValues { (_, share) -> UnitLimit(ratePerMs = rateMilliPerS * share, capacity = burst * MICROS_PER_TOKEN * share) }
}
