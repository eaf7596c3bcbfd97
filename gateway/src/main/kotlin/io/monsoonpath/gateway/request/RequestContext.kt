package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.Route
import io.monsoonpath.gateway.config.RoutingTable
import io.monsoonpath.gateway.config.Workspace
import io.monsoonpath.gateway.http.CallerRequest
import io.monsoonpath.gateway.http.RequestHead
import io.monsoonpath.model.PoolId

/**
 * A request that has passed the filters; it keeps the configuration that it began with.
 *
 * @property deadlineAtMs when its final answer is due: the caller's deadline or the route's time-out, whichever is first
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
    /** When an answer stops to be on time. */
    val latencyTargetAtMs: Long get() = request.receivedAtMs + route.targetLatencyMs

    /** When the caller leaves if nothing of an answer has come, or [deadlineAtMs]. */
    val expectedDisconnectAtMs: Long
        get() =
            if (route.callerFirstByteTimeoutMs >=
                deadlineAtMs - request.receivedAtMs
            ) {
                deadlineAtMs
            } else {
                request.receivedAtMs + route.callerFirstByteTimeoutMs
            }

    /** The rank among the requests of this configuration; 0 is first. */
    val rank: Int get() = table.rankOf(route, workspace)
}
