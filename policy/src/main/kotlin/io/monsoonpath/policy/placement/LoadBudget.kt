package io.monsoonpath.policy.placement

import io.monsoonpath.model.WeightStoreSpec

/**
 * Limits the rate and the number of concurrent model loads from the weight store. Not thread-safe.
 *
 * Only the instance that currently holds the budget of the store uses it.
 */
class LoadBudget(
    private val store: WeightStoreSpec,
) {
    private val startedAtMs = ArrayDeque<Long>()

    /** Returns whether a load may start while [running] loads are in progress; if so, counts it against the rate. */
    fun tryStart(
        running: Int,
        nowMs: Long,
    ): Boolean {
        while (startedAtMs.isNotEmpty() && nowMs - startedAtMs.first() >= MINUTE_MS) startedAtMs.removeFirst()
        if (running >= store.concurrentLoads || startedAtMs.size >= store.loadsPerMin) return false
        startedAtMs.addLast(nowMs)
        return true
    }

    private companion object {
        const val MINUTE_MS = 60_000L
    }
}
