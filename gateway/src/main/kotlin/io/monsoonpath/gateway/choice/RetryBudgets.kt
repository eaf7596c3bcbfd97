package io.monsoonpath.gateway.choice

import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.retry.AttemptBudget

/**
 * The retry budgets of this instance, one for each pool: a ratio of its first attempts plus its share of the common reserve.
 *
 * @param ratio the extra attempts allowed for each first attempt, over all instances
 * @param reserve the extra attempts that all instances together may make in addition
 * @param fleetView returns the current view of the fleet, or null if this instance does not know the fleet yet and so has no share of the
 *   reserve
 */
class RetryBudgets(
    ratio: Double,
    private val reserve: Int,
    private val fleetView: () -> FleetView?,
) {
    private val ratioPermille = (ratio * SAFETY_FACTOR * PERMILLE).toLong()
    private val budgets = HashMap<PoolId, AttemptBudget>()
    private var maxMembers: Int? = null

    /** Returns the budget of [pool]. All budgets are reset when the fleet becomes known or turns out to be larger. */
    fun of(pool: PoolId): AttemptBudget {
        val currentMax = fleetView()?.maxMembers
        if (currentMax != null && currentMax > (maxMembers ?: 0)) {
            budgets.clear()
            maxMembers = currentMax
        }
        return budgets.getOrPut(pool) {
            val ownReserve = maxMembers?.let { reserve / (2 * it) } ?: 0
            AttemptBudget(ratioPermille, ownReserve, maxSaved = ownReserve + MIN_SAVED)
        }
    }

    private companion object {
        const val PERMILLE = 1_000

        /** The rest of the ratio covers what other instances and late arrivals may add within one window. */
        const val SAFETY_FACTOR = 0.8
        const val MIN_SAVED = 2L
    }
}
