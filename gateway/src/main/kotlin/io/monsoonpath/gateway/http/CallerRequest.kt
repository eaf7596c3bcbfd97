package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * A caller's whole request.
 *
 * @property body the body; it is released when the connection has finished the answer
 */
class CallerRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val receivedAtMs: Long,
) {
    /** The method as sent. */
    val method: HttpMethod get() = head.method()

    /** The path and query as sent. */
    val target: String get() = head.uri()

    /** The path as sent, without the query. */
    val path: String get() = target.substringBefore('?')
}

/** Where the answer to one request goes. Calls after the end, or after the caller has left, do nothing. */
interface ResponseWriter {
    /** Answers with [body] at once. */
    fun writeFull(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /** Begins an answer that goes on in parts. */
    fun writeHead(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** Adds [bytes] to the answer. */
    fun writeContent(bytes: ByteBuf)

    /** Completes the answer. */
    fun end()

    /** Closes the connection so that the answer does not look complete. */
    fun abort()

    /** Whether parts should wait because the caller does not read. */
    val isCongested: Boolean

    /** Calls [action] when the caller reads again. */
    fun onDrained(action: () -> Unit)
}
