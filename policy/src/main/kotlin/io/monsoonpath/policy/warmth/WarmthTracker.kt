package io.monsoonpath.policy.warmth

import io.monsoonpath.model.Incarnation

/** Evidence of a backend server's state, as observed by one instance. */
sealed interface WarmthEvent {
    /** A connection to the server was established, either for the first time or again. */
    data object Connected : WarmthEvent

    /** A load report was received. */
    data class Reported(
        val incarnation: Incarnation,
    ) : WarmthEvent

    /**
     * A call was answered.
     *
     * @property incarnation the incarnation in the answer, or null if the answer contains none
     * @property ratio the duration divided by the duration that the pool's median server would have taken
     */
    data class Answered(
        val incarnation: Incarnation?,
        val ratio: Double,
    ) : WarmthEvent

    /** A peer found the server cold; [incarnation] is null if the peer could not determine it. */
    data class PeerReportedCold(
        val incarnation: Incarnation?,
    ) : WarmthEvent

    /** The server or its failure domain returned to service. */
    data object ReturnedToService : WarmthEvent

    /** The ramp at the granting instance is complete for the process with this incarnation. */
    data class RampCompleted(
        val incarnation: Incarnation?,
    ) : WarmthEvent

    /** No new evidence; only the time has advanced. */
    data object Tick : WarmthEvent
}

/** The reason why a backend server is considered cold. */
enum class ColdReason { FIRST_CONTACT, RECONNECTED, NEW_INCARNATION, STALE_EVIDENCE, SLOWER_SUDDENLY, PEER_FOUND_COLD, RETURNED }

/** Whether a backend server can handle its full load. */
sealed interface WarmthState {
    /** The server can handle its full load. */
    data object Warm : WarmthState

    /** The server can handle only its cold load, which increases during the ramp. */
    data class Cold(
        val reason: ColdReason,
        val sinceMs: Long,
    ) : WarmthState
}

/**
 * Tracks whether one backend server is warm, based only on evidence that is newer than its connection and its incarnation.
 *
 * Cold starts occur without warning. Each sign of one therefore makes the server cold at once, and only a completed ramp makes it
 * warm. Not thread-safe: the caller must synchronise access.
 *
 * @param startMs the time at which the instance started to track the server, in milliseconds
 */
class WarmthTracker(
    startMs: Long,
) {
    private var incarnation: Incarnation? = null
    private var evidenceAtMs = startMs
    private var consecutiveSlow = 0

    /** The state after the last event. */
    var state: WarmthState = WarmthState.Cold(ColdReason.FIRST_CONTACT, startMs)
        private set

    /** Processes [event] and returns the reason if it has begun a cold start, or null otherwise. */
    fun handle(
        event: WarmthEvent,
        nowMs: Long,
    ): ColdReason? {
        val reason = coldReasonOrNull(event, nowMs)
        recordEvidence(event, nowMs)
        if (event is WarmthEvent.RampCompleted && reason == null) state = WarmthState.Warm
        if (reason == null) return null
        consecutiveSlow = 0
        val isNewProcess = reason == ColdReason.NEW_INCARNATION || reason == ColdReason.RECONNECTED
        if (state is WarmthState.Cold && !isNewProcess) return null
        state = WarmthState.Cold(reason, nowMs)
        return reason
    }

    private fun coldReasonOrNull(
        event: WarmthEvent,
        nowMs: Long,
    ): ColdReason? =
        when (event) {
            WarmthEvent.Connected -> ColdReason.RECONNECTED
            WarmthEvent.ReturnedToService -> ColdReason.RETURNED
            WarmthEvent.Tick -> ColdReason.STALE_EVIDENCE.takeIf { nowMs - evidenceAtMs > MAX_EVIDENCE_AGE_MS }
            is WarmthEvent.Reported -> ColdReason.NEW_INCARNATION.takeIf { isNewIncarnation(event.incarnation) }
            is WarmthEvent.RampCompleted -> ColdReason.NEW_INCARNATION.takeIf { isNewIncarnation(event.incarnation) }
            is WarmthEvent.PeerReportedCold ->
                ColdReason.PEER_FOUND_COLD.takeIf { event.incarnation == null || event.incarnation != incarnation }
            is WarmthEvent.Answered ->
                when {
                    isNewIncarnation(event.incarnation) -> ColdReason.NEW_INCARNATION
                    event.ratio >= SLOWDOWN_RATIO && consecutiveSlow + 1 >= SLOWDOWN_ANSWERS -> ColdReason.SLOWER_SUDDENLY
                    else -> null
                }
        }

    private fun isNewIncarnation(reported: Incarnation?) = reported != null && incarnation != null && reported != incarnation

    private fun recordEvidence(
        event: WarmthEvent,
        nowMs: Long,
    ) {
        when (event) {
            is WarmthEvent.Reported -> recordEvidence(event.incarnation, nowMs)
            is WarmthEvent.Answered -> {
                recordEvidence(event.incarnation, nowMs)
                consecutiveSlow = if (event.ratio >= SLOWDOWN_RATIO) consecutiveSlow + 1 else 0
            }
            else -> Unit
        }
    }

    private fun recordEvidence(
        reported: Incarnation?,
        nowMs: Long,
    ) {
        evidenceAtMs = nowMs
        if (reported != null) incarnation = reported
    }

    private companion object {
        const val MAX_EVIDENCE_AGE_MS = 10_000L
        const val SLOWDOWN_RATIO = 2.5
        const val SLOWDOWN_ANSWERS = 4
    }
}
