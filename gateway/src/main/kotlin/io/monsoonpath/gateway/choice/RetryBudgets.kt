package io.monsoonpath.gateway.choice

import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.retry.AttemptBudget

/**
 * The retry budget of this instance, for each pool: a share of its own first attempts and of the reserve of all instances.
 *
 * @param ratio the extra attempts for each first attempt over all instances
 * @param reserve the extra attempts that all instances may make beside that
 * @param fleetView what this instance knows of the fleet, or null if it has just started: it then has no part in the reserve
 */
class RetryBudgets(
    ratio: Double,
    private val reserve: Int,
    private val fleetView: () -> FleetView?,
) {
    private val ratioPermille = (ratio * SAFETY_FACTOR * PERMILLE).toLong()
    private val budgets = HashMap<PoolId, AttemptBudget>()
    private var maxMembers: Int? = null

    /** Returns the budget of [pool]; all begin anew when the fleet turns out to be larger, or to be known at last. */
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

        /** What other instances and late arrivals may add within one window stays under the rest. */
        const val SAFETY_FACTOR = 0.8
        const val MIN_SAVED = 2L
    }
}
