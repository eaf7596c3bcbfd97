package io.monsoonpath.policy.placement

import io.monsoonpath.model.ModelId
import kotlin.math.ceil

/**
 * Computes the wanted number of engines of each model from the observed demand, with hysteresis. Not thread-safe.
 *
 * The target is raised to the demand once the engines have been above [HIGH_UTILISATION] for [RAISE_AFTER_MS]. It is lowered by one once
 * one engine fewer would have been below [LOW_UTILISATION] for [LOWER_AFTER_MS]. Lowering is slow because loading a model costs far more
 * than some spare capacity.
 */
class ReplicaTargets {
    private val states = HashMap<ModelId, TargetState>()

    /**
     * Updates the targets and returns the wanted number of engines of each model in [demand], at least 1.
     *
     * @param demand the number of running and waiting requests of each model, averaged over some seconds
     * @param engineCapacity the number of concurrent requests that a warm engine can take; must be positive
     */
    fun update(
        demand: Map<ModelId, Double>,
        engineCapacity: Int,
        nowMs: Long,
    ): Map<ModelId, Int> {
        require(engineCapacity > 0) { "engineCapacity must be positive: $engineCapacity" }
        states.keys.retainAll(demand.keys)
        return demand.mapValues { (model, load) -> updateTarget(model, load / engineCapacity, nowMs) }
    }

    private fun updateTarget(
        model: ModelId,
        engines: Double,
        nowMs: Long,
    ): Int {
        val state = states.getOrPut(model) { TargetState(ceil(engines / HIGH_UTILISATION).toInt().coerceAtLeast(1)) }
        state.highSinceMs = if (engines > HIGH_UTILISATION * state.target) state.highSinceMs ?: nowMs else null
        state.lowSinceMs = if (engines < LOW_UTILISATION * (state.target - 1)) state.lowSinceMs ?: nowMs else null
        if (state.highSinceMs.isOlderThan(RAISE_AFTER_MS, nowMs)) {
            state.changeTo(ceil(engines / HIGH_UTILISATION).toInt())
        } else if (state.lowSinceMs.isOlderThan(LOWER_AFTER_MS, nowMs)) {
            state.changeTo(state.target - 1)
        }
        return state.target
    }

    private fun Long?.isOlderThan(
        ageMs: Long,
        nowMs: Long,
    ): Boolean = this != null && nowMs - this >= ageMs

    private class TargetState(
        var target: Int,
    ) {
        var highSinceMs: Long? = null
        var lowSinceMs: Long? = null

        fun changeTo(to: Int) {
            target = to.coerceAtLeast(1)
            highSinceMs = null
            lowSinceMs = null
        }
    }

    private companion object {
        const val HIGH_UTILISATION = 0.75
        const val LOW_UTILISATION = 0.5
        const val RAISE_AFTER_MS = 10_000L
        const val LOWER_AFTER_MS = 120_000L
    }
}
