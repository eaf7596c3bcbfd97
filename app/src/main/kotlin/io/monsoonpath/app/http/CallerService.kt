package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.util.TimeoutMode
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.Answer
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.RequestHandler
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.recordRefusal
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import java.util.concurrent.CompletionException

/**
 * Handles the requests of callers: reads a request, runs it through the filters, and writes its answer or refusal.
 *
 * @param currentView returns the configuration in force, or null before the first one is adopted
 * @param isRejectingRequests returns whether the instance rejects new requests because it is shutting down
 */
internal class CallerService(
    private val clock: ClockMs,
    private val scope: CoroutineScope,
    private val currentView: () -> ConfigurationView?,
    private val isRejectingRequests: () -> Boolean,
    private val events: EventSink,
    private val metrics: RequestMetrics,
    private val filters: RequestHandler,
) : HttpService {
    override fun serve(
        ctx: ServiceRequestContext,
        req: HttpRequest,
    ): HttpResponse {
        val receivedAtMs = clock.nowMs()
        val answer = scope.future(EventLoopDispatcher(ctx.eventLoop().withoutContext())) { answer(ctx, req, receivedAtMs) }
        val response = HttpResponse.of(answer)
        response.whenComplete().exceptionally { null.also { answer.cancel(true) } }
        return response
    }

    private suspend fun answer(
        ctx: ServiceRequestContext,
        request: HttpRequest,
        receivedAtMs: Long,
    ): HttpResponse {
        val head =
            when (val result = parseRequestHead(request.headers())) {
                is Outcome.Refused -> return refuse(request, generateRequestId(), result)
                is Outcome.Ok -> result.value
            }
        notServingOrNull()?.let { return refuse(request, head.id, it) }
        val body =
            when (val result = readBody(request, head.key)) {
                is Outcome.Refused -> return refuse(request, head.id, result)
                is Outcome.Ok -> result.value
            }
        val exchange = { sink: TokenChannel? ->
            Exchange(head.id, ctx.path(), body, head.key, receivedAtMs, head.deadlineMs, { checkNotNull(currentView()) }, sink)
        }
        ctx.setRequestTimeoutMillis(TimeoutMode.SET_FROM_NOW, (head.deadlineMs ?: MAX_DEADLINE_MS) + SLOW_CALLER_MARGIN_MS)
        return if (head.wantsStream) streamedAnswer(scope, filters, exchange) else bufferedAnswer(exchange(null))
    }

    private fun notServingOrNull(): Outcome.Refused? =
        when {
            isRejectingRequests() -> shuttingDownRefusal()
            currentView() == null -> NO_CONFIGURATION
            else -> null
        }

    private suspend fun readBody(
        request: HttpRequest,
        key: String?,
    ): Outcome<ByteArray> {
        val body =
            try {
                request
                    .aggregate()
                    .await()
                    .content()
                    .array()
            } catch (e: CompletionException) {
                return e.cause?.toRefusal() ?: throw e
            } catch (e: Exception) {
                return e.toRefusal() ?: throw e
            }
        return bodyRefusalOrNull(body, key) ?: Outcome.Ok(body)
    }

    private fun refuse(
        request: HttpRequest,
        id: RequestId,
        refused: Outcome.Refused,
    ): HttpResponse {
        recordRefusal(id, refused, events, metrics)
        request.abort()
        return refused.refusal.toResponse(id)
    }

    private suspend fun bufferedAnswer(exchange: Exchange): HttpResponse = filters.handle(exchange).toResponse(exchange.id)

    private companion object {
        const val MAX_DEADLINE_MS = 600_000L
        const val SLOW_CALLER_MARGIN_MS = 5_000L
        val NO_CONFIGURATION = refused(RefusalReason.NOT_IN_SERVICE, Step.RECEIVE, "no configuration has been read yet")
    }
}

/** Returns the response that carries this outcome of the request [id] in a single body. */
internal fun Outcome<Answer>.toResponse(id: RequestId): HttpResponse =
    when (this) {
        is Outcome.Refused -> refusal.toResponse(id)
        is Outcome.Ok ->
            when (val answer = value) {
                is Answer.Buffered -> HttpResponse.of(answerHeaders(MediaType.JSON, id), HttpData.wrap(answer.body))
                is Answer.Streamed -> error("a streamed answer cannot be converted to a single response body")
            }
    }

/** Returns the response headers of an answer of [type] to the request [id]. */
internal fun answerHeaders(
    type: MediaType,
    id: RequestId,
): ResponseHeaders =
    ResponseHeaders
        .builder(HttpStatus.OK)
        .contentType(type)
        .add(REQUEST_ID_HEADER, id.value)
        .build()
