package io.monsoonpath.gateway.http

import io.netty.handler.codec.http.FullHttpRequest

/** An exchange from before it has a connection until its listener has heard its end. */
internal class PendingExchange(
    private var request: FullHttpRequest?,
    val listener: ExchangeListener,
) : Exchange {
    private var connection: ServerConnection? = null

    /** Whether the listener has heard its end, or must hear nothing more. */
    var isDone = false
        private set

    /** Hands the request to [receiver], which takes over its release. */
    fun takeRequest(receiver: ServerConnection): FullHttpRequest {
        connection = receiver
        return checkNotNull(request) { "the request was taken before" }.also { request = null }
    }

    fun end() {
        if (finish()) listener.onEnd()
    }

    fun fail(failure: ExchangeFailure) {
        if (finish()) listener.onFailure(failure)
    }

    override fun cancel() {
        if (finish()) connection?.close()
    }

    override fun setReading(isReading: Boolean) {
        connection?.setReading(isReading)
    }

    private fun finish(): Boolean {
        if (isDone) return false
        isDone = true
        request?.release()
        request = null
        return true
    }
}
