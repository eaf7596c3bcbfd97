package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.http.BufferBudget
import io.monsoonpath.gateway.http.CallerRequest
import io.monsoonpath.gateway.http.HeadRefusal
import io.monsoonpath.gateway.http.RequestHandler
import io.monsoonpath.gateway.http.ResponseWriter
import io.monsoonpath.gateway.http.RunningRequest
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpRequest

/** Applies the filters to the requests of callers, serves those that pass and refuses the others. */
class RequestDispatcher(
    private val filters: RequestFilters,
    private val services: RequestServices,
    private val bufferBudget: BufferBudget,
) : RequestHandler {
    override fun timeoutMs(head: HttpRequest): Long? = filters.timeoutMs(head)

    /** Bodies of requests without a route or a valid key are not kept. */
    override fun refusalOf(
        head: HttpRequest,
        receivedAtMs: Long,
    ): HeadRefusal? {
        val result = filters.apply(CallerRequest(head, Unpooled.EMPTY_BUFFER, receivedAtMs)) as? FilterResult.Refused ?: return null
        return if (result.refusal in DECIDED_BY_HEAD) HeadRefusal { refuse(result, it) } else null
    }

    override fun handle(
        request: CallerRequest,
        writer: ResponseWriter,
    ): RunningRequest =
        when (val result = filters.apply(request)) {
            is FilterResult.Passed -> RequestRun(result.context, writer, services, bufferBudget).start()
            is FilterResult.Refused -> {
                refuse(result, writer)
                RunningRequest { }
            }
        }

    private fun refuse(
        result: FilterResult.Refused,
        writer: ResponseWriter,
    ) {
        services.log.line(
            "request.refused",
            "request" to result.head?.id,
            "refusal" to result.refusal,
            "detail" to result.detail,
            "config" to result.revision,
        )
        services.metrics.requestEnded("none", result.refusal.name, 0)
        val retryAfterMs = services.retries.afterPolicy.recordRefusal(WITHOUT_ROUTE, 0, services.clock.nowMs(), result.head?.id.hashCode())
        writer.refuse(result.refusal, retryAfterMs)
    }

    private companion object {
        /** The route under which refusals by the filters are recorded, since they may occur before a route is known. */
        const val WITHOUT_ROUTE = ""

        /** The refusals that a later configuration does not change while the body arrives in any usual case. */
        val DECIDED_BY_HEAD = setOf(Refusal.MALFORMED, Refusal.NO_ROUTE, Refusal.UNKNOWN_KEY)
    }
}
