package io.monsoonpath.coordination

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.units.LimitDecision
import io.monsoonpath.coordination.units.LimitQuery
import io.monsoonpath.model.Event
import io.monsoonpath.model.InstanceId

/** An action that a state machine asks its caller to perform. */
sealed interface Effect {
    /** Send [message] to the process that currently runs as [to]. Delivery is not guaranteed. */
    data class Send(
        val to: InstanceId,
        val message: PeerMessage,
    ) : Effect

    /** Deliver [decision] to the waiter of [query]. */
    data class LimitDecided(
        val query: LimitQuery,
        val decision: LimitDecision,
    ) : Effect

    /** Deliver the outcome of the claim [token] to its requester. */
    data class ClaimDecided(
        val token: Long,
        val outcome: ClaimOutcome,
    ) : Effect

    /** Deliver the outcome of the permit request [token] to its requester. */
    data class PermitDecided(
        val token: Long,
        val outcome: PermitOutcome,
    ) : Effect

    /** Record [event] in the event log. */
    data class Emit(
        val event: Event,
    ) : Effect
}
