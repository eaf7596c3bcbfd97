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
import io.netty.handler.codec.http.HttpRequest

/** The result of filtering a request. */
sealed interface FilterResult {
    /** The request may be served. */
    class Passed(
        val context: RequestContext,
    ) : FilterResult

    /** The request is refused; [detail] describes what was found. */
    class Refused(
        val refusal: Refusal,
        val head: RequestHead?,
        val detail: String?,
        val revision: Long?,
    ) : FilterResult
}

/** Filters requests before they are served: decodes and authenticates them, selects their route and pool, and sets their deadline. */
class RequestFilters(
    private val configuration: ConfigurationHolder,
    private val codec: CallerCodec,
) {
    /** The head that was decoded last: a request is filtered when its head arrives and again, mostly at once, when it is complete. */
    private var lastHead: HttpRequest? = null
    private var lastDecoded: DecodedHead? = null

    /** Returns how long the caller of a request with [head] waits for its response, in milliseconds, or null if it does not say so. */
    fun timeoutMs(head: HttpRequest): Long? = (decode(head) as? DecodedHead.Valid)?.head?.timeoutMs

    /** Returns [request] with its route, pool and workspace, or the reason for which it is refused. */
    fun apply(request: CallerRequest): FilterResult =
        when (val decoded = decode(request.head)) {
            is DecodedHead.Malformed -> FilterResult.Refused(Refusal.MALFORMED, null, decoded.reason, null)
            is DecodedHead.Valid -> route(request, decoded.head)
        }

    private fun decode(head: HttpRequest): DecodedHead {
        lastDecoded?.takeIf { head === lastHead }?.let { return it }
        lastHead = head
        return codec.decode(head).also { lastDecoded = it }
    }

    private fun route(
        request: CallerRequest,
        head: RequestHead,
    ): FilterResult {
        val table = configuration.current ?: return FilterResult.Refused(Refusal.NO_CONFIGURATION, head, null, null)
        val host = hostOf(request)
        val route =
            table.routeOf(host, request.path)
                ?: return FilterResult.Refused(Refusal.NO_ROUTE, head, host + request.path, table.revision.value)
        return authenticate(request, head, table, route)
    }

    private fun authenticate(
        request: CallerRequest,
        head: RequestHead,
        table: RoutingTable,
        route: Route,
    ): FilterResult {
        val workspace = head.apiKey?.let { table.workspaces?.get(it) }
        if (table.workspaces != null && !route.allowsAnonymous && workspace == null) {
            return FilterResult.Refused(Refusal.UNKNOWN_KEY, head, route.name, table.revision.value)
        }
        return createContext(request, head, table, route, workspace)
    }

    private fun createContext(
        request: CallerRequest,
        head: RequestHead,
        table: RoutingTable,
        route: Route,
        workspace: Workspace?,
    ): FilterResult {
        val timeoutMs = minOf(head.timeoutMs ?: Long.MAX_VALUE, route.timeoutMs)
        val pool =
            route.poolOf(head.id.hashCode())
                ?: return FilterResult.Refused(Refusal.NO_BACKEND, head, route.name, table.revision.value)
        return FilterResult.Passed(RequestContext(request, head, table, route, pool, workspace, request.receivedAtMs + timeoutMs))
    }

    private fun hostOf(request: CallerRequest): String =
        request.head
            .headers()
            .get(HttpHeaderNames.HOST)
            .orEmpty()
            .substringBefore(':')
            .lowercase()
}
