package io.monsoonpath.app.http

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.Answer
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.Next
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import java.util.UUID

/** Serves callers: reads a request, runs it through the filters, and writes its answer or refusal. */
internal class CallerService(
    private val clock: ClockMs,
    private val scope: CoroutineScope,
    private val view: () -> ConfigurationView?,
    private val filters: Next,
) : HttpService {
    override fun serve(
        ctx: ServiceRequestContext,
        req: HttpRequest,
    ): HttpResponse {
        val receivedAtMs = clock.nowMs()
        return HttpResponse.of(scope.future { answer(req.aggregate().await(), receivedAtMs) })
    }

    private suspend fun answer(
        request: AggregatedHttpRequest,
        receivedAtMs: Long,
    ): HttpResponse {
        val id = RequestId(request.headers().get(REQUEST_ID_HEADER) ?: UUID.randomUUID().toString())
        val current = view() ?: return NO_CONFIGURATION.toResponse(id)
        val exchange =
            Exchange(
                id = id,
                path = request.path(),
                body = request.content().array(),
                key = request.headers().get(HttpHeaderNames.AUTHORIZATION)?.removePrefix(BEARER),
                receivedAtMs = receivedAtMs,
                requestedDeadlineMs = request.headers().getLong(DEADLINE_HEADER),
                view = current,
            )
        return filters.proceed(exchange).toResponse(id)
    }

    private fun Outcome<Answer>.toResponse(id: RequestId): HttpResponse =
        when (this) {
            is Outcome.Ok -> HttpResponse.of(headers(HttpStatus.OK, id), HttpData.wrap(value.body))
            is Outcome.Refused -> HttpResponse.of(headers(HttpStatus.valueOf(refusal.reason.status), id), refusal.toData())
        }

    private fun headers(
        status: HttpStatus,
        id: RequestId,
    ): ResponseHeaders =
        ResponseHeaders
            .builder(status)
            .contentType(MediaType.JSON)
            .add(REQUEST_ID_HEADER, id.value)
            .build()

    private fun Refusal.toData() = HttpData.ofUtf8(DocumentJson.encodeToString(Refusal.serializer(), this))

    private companion object {
        const val BEARER = "Bearer "
        val NO_CONFIGURATION = refused(RefusalReason.NOT_IN_SERVICE, Step.RECEIVE, "no configuration has been read yet")
    }
}
