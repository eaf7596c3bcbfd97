package io.monsoonpath.app.control

import io.monsoonpath.app.request.ServiceGate
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.Access
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step

/**
 * Returns a gate that admits requests of keyed routes only while the configuration of this instance is known to be current,
 * and otherwise decides as [gate] does.
 */
internal fun configurationFreshnessGate(
    gate: ServiceGate,
    coordinator: Coordinator,
    clock: ClockMs,
): ServiceGate =
    ServiceGate { exchange ->
        val needsFreshConfiguration = exchange.route.access == Access.KEYED
        when {
            needsFreshConfiguration && !coordinator.replicationStatus.isFresh(clock.nowMs()) -> NOT_CURRENT.refusal
            else -> gate.refusalOrNull(exchange)
        }
    }

private const val RETRY_AFTER_MS = 1_000L
private val NOT_CURRENT =
    refused(RefusalReason.NOT_IN_SERVICE, Step.AUTHENTICATE, "the keys in force are not known here at the moment", RETRY_AFTER_MS)
