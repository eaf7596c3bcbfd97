package io.monsoonpath.coordination

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.units.LimitDecision
import io.monsoonpath.coordination.units.LimitQuery
import io.monsoonpath.model.Event
import io.monsoonpath.model.InstanceId

/** What a decision asks its surroundings to do. */
sealed interface Effect {
    /** Send [message] to the process that is now running as [to]; it may be lost. */
    data class Send(
        val to: InstanceId,
        val message: PeerMessage,
    ) : Effect

    /** Hand [decision] to whoever waits for [query]. */
    data class LimitDecided(
        val query: LimitQuery,
        val decision: LimitDecision,
    ) : Effect

    /** Hand the outcome of the claim [token] to whoever asked for it. */
    data class ClaimDecided(
        val token: Long,
        val outcome: ClaimOutcome,
    ) : Effect

    /** Hand the outcome of the ask [token] for a permit to whoever asked for it. */
    data class PermitDecided(
        val token: Long,
        val outcome: PermitOutcome,
    ) : Effect

    /** Record [event] on the time line. */
    data class Emit(
        val event: Event,
    ) : Effect
}
