package io.monsoonpath.policy.placement

import io.monsoonpath.model.WeightStoreSpec

/** The pace at which loads from the weight store may start. Single-threaded; the holder of the store's budget owns it. */
class LoadBudget(
    private val store: WeightStoreSpec,
) {
    private val startedAtMs = ArrayDeque<Long>()

    /** Returns whether a load may start while [running] are under way, and counts it if so. */
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
