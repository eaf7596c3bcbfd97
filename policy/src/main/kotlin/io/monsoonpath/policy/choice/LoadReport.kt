package io.monsoonpath.policy.choice

import io.monsoonpath.model.Incarnation

/**
 * A backend server's report of its load, as this instance received it.
 *
 * @property inFlight the requests of all instances that the server was running or queueing
 * @property incarnation the incarnation of the reporting process
 * @property receivedAtMs when the report arrived here, on this instance's clock
 * @property ownInFlight this instance's requests on the server when the report arrived
 */
data class LoadReport(
    val inFlight: Int,
    val incarnation: Incarnation,
    val receivedAtMs: Long,
    val ownInFlight: Int,
)
