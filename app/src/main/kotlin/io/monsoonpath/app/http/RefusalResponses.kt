package io.monsoonpath.app.http

import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.ContentTooLargeException
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.ShuttingDownException
import com.linecorp.armeria.server.RequestTimeoutException
import com.linecorp.armeria.server.ServerErrorHandler
import com.linecorp.armeria.server.ServiceConfig
import com.linecorp.armeria.server.ServiceRequestContext
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import kotlinx.serialization.json.Json

/** Returns the response that carries this refusal of the request [id]. */
internal fun Refusal.toResponse(id: RequestId?): HttpResponse = toAggregatedResponse(id).toHttpResponse()

/** Returns this refusal as a single line of JSON. */
internal fun Refusal.toJson(): String = COMPACT_JSON.encodeToString(Refusal.serializer(), this)

private fun Refusal.toAggregatedResponse(id: RequestId?): AggregatedHttpResponse =
    AggregatedHttpResponse.of(responseHeaders(id), HttpData.ofUtf8(toJson()))

/**
 * Returns the response headers of this refusal.
 *
 * Two kinds of refusal share the status 429. Callers tell them apart by the reason, which [REFUSAL_HEADER] repeats, and by
 * [RATE_REMAINING_HEADER], which is present (with the value 0) only if the rate limit is the reason.
 */
private fun Refusal.responseHeaders(id: RequestId?): ResponseHeaders {
    val headers =
        ResponseHeaders
            .builder(HttpStatus.valueOf(reason.status))
            .contentType(MediaType.JSON)
            .add(REFUSAL_HEADER, REASON_NAMES.getValue(reason))
    id?.let { headers.add(REQUEST_ID_HEADER, it.value) }
    retryAfterMs?.let { headers.addLong(HttpHeaderNames.RETRY_AFTER, (it + MS_PER_S - 1) / MS_PER_S) }
    if (reason == RefusalReason.RATE_LIMITED) headers.add(RATE_REMAINING_HEADER, "0")
    return headers.build()
}

/** Converts the errors of the HTTP server itself, which arise outside the filters, to typed refusals. */
internal object RefusalErrorHandler : ServerErrorHandler {
    override fun onServiceException(
        ctx: ServiceRequestContext,
        cause: Throwable,
    ): HttpResponse? = cause.toRefusal()?.refusal?.toResponse(null)

    override fun renderStatus(
        ctx: ServiceRequestContext?,
        config: ServiceConfig,
        headers: RequestHeaders?,
        status: HttpStatus,
        description: String?,
        cause: Throwable?,
    ): AggregatedHttpResponse {
        val refusal = cause?.toRefusal() ?: refused(reasonFor(status), Step.RECEIVE, description ?: status.reasonPhrase())
        return refusal.refusal.toAggregatedResponse(null)
    }

    private fun reasonFor(status: HttpStatus) =
        when {
            status == HttpStatus.REQUEST_ENTITY_TOO_LARGE -> RefusalReason.BODY_TOO_LARGE
            status == HttpStatus.NOT_FOUND -> RefusalReason.NO_ROUTE
            status.isClientError -> RefusalReason.BAD_REQUEST
            status == HttpStatus.SERVICE_UNAVAILABLE -> RefusalReason.OVERLOADED
            else -> RefusalReason.INTERNAL
        }
}

/** Returns the refusal for an error that occurred while a request was being received, or null for any other error. */
internal fun Throwable.toRefusal(): Outcome.Refused? =
    when (this) {
        is ContentTooLargeException -> refused(RefusalReason.BODY_TOO_LARGE, Step.RECEIVE, "the body is too large")
        is RequestTimeoutException -> refused(RefusalReason.BAD_REQUEST, Step.RECEIVE, "the request did not arrive in time")
        is ShuttingDownException -> shuttingDownRefusal()
        else -> null
    }

/** Returns the refusal of an instance that rejects new requests because it is shutting down. */
internal fun shuttingDownRefusal() =
    refused(RefusalReason.SHUTTING_DOWN, Step.RECEIVE, "this instance is shutting down", retryAfterMs = SHUTDOWN_RETRY_AFTER_MS)

private val COMPACT_JSON = Json { explicitNulls = false }
private val REASON_NAMES: Map<RefusalReason, String> =
    RefusalReason.entries.associateWith { COMPACT_JSON.encodeToString(RefusalReason.serializer(), it).trim('"') }
private const val MS_PER_S = 1_000L
private const val SHUTDOWN_RETRY_AFTER_MS = 1_000L
