package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.http.CallerAnswer
import io.monsoonpath.gateway.http.CallerRequest
import io.monsoonpath.gateway.http.RequestHandler
import io.monsoonpath.gateway.http.RunningRequest

/** Takes callers' requests through the filters and serves those that pass. */
class RequestPath(
    private val filters: RequestFilters,
    private val services: Services,
) : RequestHandler {
    override fun begin(
        request: CallerRequest,
        answer: CallerAnswer,
    ): RunningRequest =
        when (val filtered = filters.apply(request)) {
            is Filtered.Passed -> RequestRun(filtered.context, answer, services).start()
            is Filtered.Refused -> {
                refuse(filtered, answer)
                RunningRequest { }
            }
        }

    private fun refuse(
        filtered: Filtered.Refused,
        answer: CallerAnswer,
    ) {
        services.log.line(
            "request.refused",
            "request" to filtered.head?.id,
            "refusal" to filtered.refusal,
            "detail" to filtered.detail,
            "config" to filtered.revision,
        )
        services.metrics.requestEnded("none", filtered.refusal.name, 0)
        val returnAfterMs = services.returns.recordRefusal(NO_ROUTE_YET, 0, services.clock.nowMs(), filtered.head?.id.hashCode())
        answer.refuse(filtered.refusal, returnAfterMs)
    }

    private companion object {
        /** Stands for the route of requests that no route has taken. */
        const val NO_ROUTE_YET = ""
    }
}
