package io.monsoonpath.policy.crash

import io.monsoonpath.model.PromptPartId

/**
 * Decides when an instance may send a request as a trial of a quarantine that has ended.
 *
 * The cause of the crashes may be gone, for example after a release. All instances compute the same ranking for a quarantine and take turns
 * in its order, so that usually a single request is sent before its outcome is known everywhere. Not thread-safe.
 */
class TrialSchedule {
    private val lastTrialAtMs = HashMap<Set<PromptPartId>, Long>()

    /**
     * Returns whether this instance may send a request as a trial of [quarantine].
     *
     * @param rank the rank of this instance for the quarantine, from 0, or null if the fleet is not known yet
     */
    fun mayStart(
        quarantine: PromptQuarantine,
        rank: Int?,
        nowMs: Long,
    ): Boolean {
        if (rank == null || nowMs < quarantine.endsAtMs + rank * TURN_MS) return false
        val lastAtMs = lastTrialAtMs[quarantine.parts] ?: return true
        return nowMs - lastAtMs > RETRY_INTERVAL_MS
    }

    /** Records that this instance sends a request as a trial of [quarantine]. */
    fun recordStart(
        quarantine: PromptQuarantine,
        nowMs: Long,
    ) {
        lastTrialAtMs.values.removeIf { nowMs - it > RETRY_INTERVAL_MS }
        lastTrialAtMs[quarantine.parts] = nowMs
    }

    private companion object {
        /** Longer than it takes until the outcome of a trial is known to all instances. */
        const val TURN_MS = 5_000L

        /** After a trial without an outcome, for example because its caller left. */
        const val RETRY_INTERVAL_MS = 60_000L
    }
}
