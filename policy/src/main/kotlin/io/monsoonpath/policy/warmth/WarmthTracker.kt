package io.monsoonpath.policy.warmth

import io.monsoonpath.model.Incarnation

/** Evidence of a backend server's state, as one instance sees it. */
sealed interface WarmthEvent {
    /** A connection to the server was established, the first one or a new one. */
    data object Connected : WarmthEvent

    /** A load report arrived. */
    data class Reported(
        val incarnation: Incarnation,
    ) : WarmthEvent

    /**
     * A call was answered.
     *
     * @property incarnation the incarnation that the answer names, or null if it names none
     * @property ratio the duration divided by the duration that the pool's median server would have taken
     */
    data class Answered(
        val incarnation: Incarnation?,
        val ratio: Double,
    ) : WarmthEvent

    /** A peer found the server cold; null if it does not know the incarnation. */
    data class PeerReportedCold(
        val incarnation: Incarnation?,
    ) : WarmthEvent

    /** The server or its failure domain returned to service. */
    data object ReturnedToService : WarmthEvent

    /** The ramp at the granting instance is complete for the process with this incarnation. */
    data class RampCompleted(
        val incarnation: Incarnation?,
    ) : WarmthEvent

    /** Nothing happened; time went on. */
    data object Tick : WarmthEvent
}

/** Why a backend server is taken to be cold. */
enum class ColdReason { FIRST_CONTACT, RECONNECTED, NEW_INCARNATION, STALE_EVIDENCE, SLOWER_SUDDENLY, PEER_FOUND_COLD, RETURNED }

/** Whether a backend server bears its full load. */
sealed interface WarmthState {
    /** It bears its full load. */
    data object Warm : WarmthState

    /** It bears only its cold load, and more as the ramp goes on. */
    data class Cold(
        val reason: ColdReason,
        val sinceMs: Long,
    ) : WarmthState
}

/**
 * Decides whether one backend server is warm: only on evidence newer than its connection and its incarnation.
 *
 * Cold starts come without warning, so that each sign makes the server cold at once; only a completed ramp makes it warm.
 * Single-threaded: the caller guards it.
 *
 * @param startMs when the instance first heard of the server
 */
class WarmthTracker(
    startMs: Long,
) {
    private var incarnation: Incarnation? = null
    private var evidenceAtMs = startMs
    private var consecutiveSlow = 0

    /** The state at the last input. */
    var state: WarmthState = WarmthState.Cold(ColdReason.FIRST_CONTACT, startMs)
        private set

    /** Takes [event] and returns the reason if the server has turned cold by it, else null. */
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
