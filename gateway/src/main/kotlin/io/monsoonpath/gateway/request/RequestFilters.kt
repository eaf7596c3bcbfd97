package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.config.Route
import io.monsoonpath.gateway.config.RoutingTable
import io.monsoonpath.gateway.config.Workspace
import io.monsoonpath.gateway.http.CallerCodec
import io.monsoonpath.gateway.http.CallerRequest
import io.monsoonpath.gateway.http.DecodedHead
import io.monsoonpath.gateway.http.RequestHead
import io.netty.handler.codec.http.HttpHeaderNames

/** What the filters made of a request. */
sealed interface Filtered {
    /** The request may be served. */
    class Passed(
        val context: RequestContext,
    ) : Filtered

    /** The request is refused; [detail] adds what was found. */
    class Refused(
        val refusal: Refusal,
        val head: RequestHead?,
        val detail: String?,
        val revision: Long?,
    ) : Filtered
}

/** The filters that a request passes before it is served: decode, route, authenticate, bound its time. */
class RequestFilters(
    private val configuration: ConfigurationHolder,
    private val codec: CallerCodec,
) {
    /** Returns [request] with its route and workspace, or why it is refused. */
    fun apply(request: CallerRequest): Filtered =
        when (val decoded = codec.decode(request.head)) {
            is DecodedHead.Malformed -> Filtered.Refused(Refusal.MALFORMED, null, decoded.reason, null)
            is DecodedHead.Valid -> route(request, decoded.head)
        }

    private fun route(
        request: CallerRequest,
        head: RequestHead,
    ): Filtered {
        val table = configuration.current ?: return Filtered.Refused(Refusal.NO_CONFIGURATION, head, null, null)
        val host = hostOf(request)
        val route =
            table.routeOf(host, request.path)
                ?: return Filtered.Refused(Refusal.NO_ROUTE, head, host + request.path, table.revision.value)
        return authenticate(request, head, table, route)
    }

    private fun authenticate(
        request: CallerRequest,
        head: RequestHead,
        table: RoutingTable,
        route: Route,
    ): Filtered {
        val workspace = head.key?.let { table.workspaces?.get(it) }
        if (table.workspaces != null && !route.allowsAnonymous && workspace == null) {
            return Filtered.Refused(Refusal.UNKNOWN_KEY, head, route.name, table.revision.value)
        }
        return bound(request, head, table, route, workspace)
    }

    private fun bound(
        request: CallerRequest,
        head: RequestHead,
        table: RoutingTable,
        route: Route,
        workspace: Workspace?,
    ): Filtered {
        val waitMs = minOf(head.waitMs ?: Long.MAX_VALUE, route.timeoutMs)
        val pool =
            route.poolOf(head.id.hashCode())
                ?: return Filtered.Refused(Refusal.NO_BACKEND, head, route.name, table.revision.value)
        return Filtered.Passed(RequestContext(request, head, table, route, pool, workspace, request.receivedAtMs + waitMs))
    }

    private fun hostOf(request: CallerRequest): String =
        request.head
            .headers()
            .get(HttpHeaderNames.HOST)
            .orEmpty()
            .substringBefore(':')
            .lowercase()
}
