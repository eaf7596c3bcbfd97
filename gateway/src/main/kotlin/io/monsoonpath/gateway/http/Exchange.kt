package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse

/** Why an exchange with a server ended without a whole answer. */
enum class ExchangeFailure(
    /** Whether the server can't have received the request. */
    val isUnsent: Boolean = false,
) {
    /** No connection could be made. */
    NOT_CONNECTED(isUnsent = true),

    /** The limit of connections to the server is reached. */
    NO_CONNECTION_FREE(isUnsent = true),

    /** The connection ended before the answer's head. */
    CLOSED_BEFORE_HEAD,

    /** The connection ended within the answer. */
    CUT,

    /** The bytes are no HTTP answer. */
    MALFORMED,

    /** Nothing came for too long. */
    TIMED_OUT,
}

/** Receives the answer of one exchange; exactly one of [onEnd] and [onFailure] is called last. */
interface ExchangeListener {
    /** Returns whether [response] answers this request; a late answer to an earlier one is skipped. */
    fun matches(response: HttpResponse): Boolean = true

    /** The head of the answer came. */
    fun onHead(response: HttpResponse)

    /** A part of the body came; the listener must not keep [content] after it returns. */
    fun onContent(content: ByteBuf)

    /** The answer is complete. */
    fun onEnd()

    /** The exchange ended without a whole answer. */
    fun onFailure(failure: ExchangeFailure)
}

/** An exchange under way. */
interface Exchange {
    /** Ends the exchange and closes its connection; the listener hears nothing more. */
    fun cancel()

    /** Stops or resumes reading the answer. */
    fun setReading(isReading: Boolean)
}
