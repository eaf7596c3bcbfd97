package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** The reason for which an exchange with a server ended without a complete response. */
enum class ExchangeFailure(
    /** Whether it is certain that the server did not receive the request. */
    val isUnsent: Boolean = false,
    /** Whether the connection ended while a response was due, as when the server crashes. */
    val isConnectionLoss: Boolean = false,
) {
    /** No connection could be established. */
    NOT_CONNECTED(isUnsent = true),

    /** The maximum number of connections to the server is open, and none can be reused. */
    NO_CONNECTION_FREE(isUnsent = true),

    /** The request expired before it was written. */
    EXPIRED(isUnsent = true),

    /** The connection was closed before the head of the response. */
    CLOSED_BEFORE_HEAD(isConnectionLoss = true),

    /** The connection was closed or failed within the response. */
    CUT(isConnectionLoss = true),

    /** The received bytes are not an HTTP response. */
    MALFORMED,

    /** The response is longer than any valid one. */
    TOO_LONG,

    /** Nothing was received for too long. */
    TIMED_OUT,
}

/** The request of an exchange. */
sealed interface OutgoingRequest {
    /** A request that is sent whenever a connection is available. */
    class Ready(
        val request: FullHttpRequest,
    ) : OutgoingRequest

    /**
     * A request that expires.
     *
     * @property create returns the request, or null if it has expired; called at most once, immediately before the request is written
     */
    class Deferred(
        val create: () -> FullHttpRequest?,
    ) : OutgoingRequest
}

/** Which request a response belongs to, as far as its head tells. */
enum class ResponseOwner {
    /** The request of the exchange. */
    THIS_REQUEST,

    /** Another request: the response is a late one, and is skipped. */
    OTHER_REQUEST,

    /** The head does not tell. On a connection that was used before, the response may be a late copy of an earlier one. */
    UNKNOWN,
}

/** Receives the response of one exchange. The last call is either [onEnd] or [onFailure], unless the exchange is cancelled. */
interface ExchangeListener {
    /** Returns which request [response] belongs to; called before [onHead]. */
    fun ownerOf(response: HttpResponse): ResponseOwner = ResponseOwner.THIS_REQUEST

    /** Called when the head of the response has arrived. */
    fun onHead(response: HttpResponse)

    /** Called when a part of the body has arrived; [content] is valid only during the call. */
    fun onContent(content: ByteBuf)

    /** Returns, after the last content, whether the connection can be used again; called before [onEnd]. */
    fun isReusable(): Boolean = true

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the exchange has ended without a complete response. */
    fun onFailure(failure: ExchangeFailure)
}

/** Represents a request to a server and its response. */
interface Exchange {
    /** Cancels the exchange and closes its connection; the listener is not called any more. */
    fun cancel()

    /** Pauses or resumes reading of the response. */
    fun setReading(isReading: Boolean)

    /** The number of this exchange among those of its connection, from 1, or null if it was not started. */
    val numberOnConnection: Int?
}
