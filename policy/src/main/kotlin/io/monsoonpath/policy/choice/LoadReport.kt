package io.monsoonpath.policy.choice

import io.monsoonpath.model.Incarnation

/**
 * A load report of a backend server, as received by this instance.
 *
 * @property inFlight the requests of all instances that the server was running or queueing
 * @property incarnation the incarnation of the reporting process
 * @property receivedAtMs the time at which the report was received, on this instance's clock, in milliseconds
 * @property ownInFlight this instance's requests on the server when the report was received
 */
data class LoadReport(
    val inFlight: Int,
    val incarnation: Incarnation,
    val receivedAtMs: Long,
    val ownInFlight: Int,
)
