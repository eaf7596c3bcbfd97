package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Represents the complete request of a caller.
 *
 * @property body the body; released when the response is finished
 * @property receivedAtMs the time in milliseconds at which the head was complete, from which the time of the request counts
 */
class CallerRequest(
    val head: HttpRequest,
    val body: ByteBuf,
    val receivedAtMs: Long,
) {
    /** The method as received. */
    val method: HttpMethod get() = head.method()

    /** The path and query as received. */
    val target: String get() = head.uri()

    /** The path as received, without the query. */
    val path: String get() = target.substringBefore('?')
}

/** Writes the response to one request. Calls after the end, or after the caller has disconnected, have no effect. */
interface ResponseWriter {
    /** Writes a complete response with [body]. */
    fun writeFull(
        status: HttpResponseStatus,
        headers: HttpHeaders,
        body: ByteBuf,
    )

    /** Writes the head of a response whose body follows in parts. */
    fun writeHead(
        status: HttpResponseStatus,
        headers: HttpHeaders,
    )

    /** Writes [bytes] as the next part of the body. */
    fun writeContent(bytes: ByteBuf)

    /** Completes the response. */
    fun end()

    /** Closes the connection, so that the caller can't take the response for complete. */
    fun abort()

    /** Whether the caller is connected and waits for the response. */
    val isConnected: Boolean

    /** Whether the caller reads more slowly than the response is written, so that writing should pause. */
    val isCongested: Boolean

    /** Calls [action] once when writing can continue; replaces any earlier action. */
    fun onDrained(action: () -> Unit)
}
