package io.monsoonpath.policy.warmth

import io.monsoonpath.model.Incarnation

/** Evidence of a backend server's state, as one instance sees it. */
sealed interface WarmthInput {
    /** A connection to the server was established, the first one or a new one. */
    data object Connected : WarmthInput

    /** A load report arrived. */
    data class Reported(
        val incarnation: Incarnation,
    ) : WarmthInput

    /**
     * A call was answered.
     *
     * @property incarnation the incarnation that the answer names, or null if it names none
     * @property ratio the duration divided by the duration that the pool's median server would have taken
     */
    data class Answered(
        val incarnation: Incarnation?,
        val ratio: Double,
    ) : WarmthInput

    /** A peer found the server cold; null if it does not know the incarnation. */
    data class PeerFoundCold(
        val incarnation: Incarnation?,
    ) : WarmthInput

    /** The server or its failure domain returned to service. */
    data object ReturnedToService : WarmthInput

    /** The ramp at the granting instance is complete for the process with this incarnation. */
    data class RampCompleted(
        val incarnation: Incarnation?,
    ) : WarmthInput

    /** Nothing happened; time went on. */
    data object Tick : WarmthInput
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
class Warmth(
    startMs: Long,
) {
    private var incarnation: Incarnation? = null
    private var evidenceAtMs = startMs
    private var slowInRow = 0

    /** The state at the last input. */
    var state: WarmthState = WarmthState.Cold(ColdReason.FIRST_CONTACT, startMs)
        private set

    /** Takes [input] and returns the reason if the server has turned cold by it, else null. */
    fun on(
        input: WarmthInput,
        nowMs: Long,
    ): ColdReason? {
        val reason = coldReasonOrNull(input, nowMs)
        note(input, nowMs)
        if (input is WarmthInput.RampCompleted && reason == null) state = WarmthState.Warm
        if (reason == null) return null
        slowInRow = 0
        val newProcess = reason == ColdReason.NEW_INCARNATION || reason == ColdReason.RECONNECTED
        if (state is WarmthState.Cold && !newProcess) return null
        state = WarmthState.Cold(reason, nowMs)
        return reason
    }

    private fun coldReasonOrNull(
        input: WarmthInput,
        nowMs: Long,
    ): ColdReason? =
        when (input) {
            WarmthInput.Connected -> ColdReason.RECONNECTED
            WarmthInput.ReturnedToService -> ColdReason.RETURNED
            WarmthInput.Tick -> ColdReason.STALE_EVIDENCE.takeIf { nowMs - evidenceAtMs > STALE_MS }
            is WarmthInput.Reported -> ColdReason.NEW_INCARNATION.takeIf { isNew(input.incarnation) }
            is WarmthInput.RampCompleted -> ColdReason.NEW_INCARNATION.takeIf { isNew(input.incarnation) }
            is WarmthInput.PeerFoundCold ->
                ColdReason.PEER_FOUND_COLD.takeIf { input.incarnation == null || input.incarnation != incarnation }
            is WarmthInput.Answered ->
                when {
                    isNew(input.incarnation) -> ColdReason.NEW_INCARNATION
                    input.ratio >= JUMP_RATIO && slowInRow + 1 >= JUMP_ANSWERS -> ColdReason.SLOWER_SUDDENLY
                    else -> null
                }
        }

    private fun isNew(seen: Incarnation?) = seen != null && incarnation != null && seen != incarnation

    private fun note(
        input: WarmthInput,
        nowMs: Long,
    ) {
        when (input) {
            is WarmthInput.Reported -> note(input.incarnation, nowMs)
            is WarmthInput.Answered -> {
                note(input.incarnation, nowMs)
                slowInRow = if (input.ratio >= JUMP_RATIO) slowInRow + 1 else 0
            }
            else -> Unit
        }
    }

    private fun note(
        seen: Incarnation?,
        nowMs: Long,
    ) {
        evidenceAtMs = nowMs
        if (seen != null) incarnation = seen
    }

    private companion object {
        const val STALE_MS = 10_000L
        const val JUMP_RATIO = 2.5
        const val JUMP_ANSWERS = 4
    }
}
