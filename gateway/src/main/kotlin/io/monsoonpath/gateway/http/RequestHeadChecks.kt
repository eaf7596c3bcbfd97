package io.monsoonpath.gateway.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Returns the status with which a request is rejected whose head could not be decoded because of [cause]. */
internal fun statusOf(cause: Throwable): HttpResponseStatus =
    when (cause) {
        is TooLongHttpHeaderException, is TooLongHttpLineException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        is BudgetExceededException -> HttpResponseStatus.SERVICE_UNAVAILABLE
        else -> HttpResponseStatus.BAD_REQUEST
    }

/** Returns whether HTTP implementations could disagree about the length or the host of [request]; such requests are rejected. */
internal fun isAmbiguous(request: HttpRequest): Boolean {
    val headers = request.headers()
    val lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH)
    val encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING)
    return lengths.size > 1 ||
        encodings.size > 1 ||
        (lengths.isNotEmpty() && encodings.isNotEmpty()) ||
        headers.getAll(HttpHeaderNames.HOST).size != 1
}
