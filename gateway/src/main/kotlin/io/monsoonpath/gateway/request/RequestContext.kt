package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.Route
import io.monsoonpath.gateway.config.RoutingTable
import io.monsoonpath.gateway.config.Workspace
import io.monsoonpath.gateway.http.CallerRequest
import io.monsoonpath.gateway.http.RequestHead
import io.monsoonpath.model.PoolId

/**
 * Represents a request that has passed the filters. It is served with the configuration that was in force then, even if that changes.
 *
 * @property deadlineAtMs the deadline of the final response in milliseconds, set by the caller or the route's timeout, whichever is earlier
 */
class RequestContext(
    val request: CallerRequest,
    val head: RequestHead,
    val table: RoutingTable,
    val route: Route,
    val pool: PoolId,
    val workspace: Workspace?,
    val deadlineAtMs: Long,
) {
    /** The time in milliseconds by which a response meets the latency target of the route. */
    val latencyTargetAtMs: Long get() = request.receivedAtMs + route.targetLatencyMs

    /** The time in milliseconds at which the caller disconnects if it has received no byte of a response; at most [deadlineAtMs]. */
    val expectedDisconnectAtMs: Long
        get() =
            if (route.callerFirstByteTimeoutMs >= deadlineAtMs - request.receivedAtMs) {
                deadlineAtMs
            } else {
                request.receivedAtMs + route.callerFirstByteTimeoutMs
            }

    /** The rank of the request's priority among the priorities of this configuration; 0 is the highest. */
    val rank: Int get() = table.rankOf(route, workspace)
}
