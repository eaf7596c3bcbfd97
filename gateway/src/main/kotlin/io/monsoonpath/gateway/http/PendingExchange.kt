package io.monsoonpath.gateway.http

import io.netty.handler.codec.http.FullHttpRequest

/** Represents an exchange from its creation, before it has a connection, until its listener has been notified of its end. */
internal class PendingExchange(
    private var request: OutgoingRequest?,
    val listener: ExchangeListener,
) : Exchange {
    private var connection: ServerConnection? = null
    override var numberOnConnection: Int? = null
        private set

    /** Whether the exchange is complete, failed or cancelled, so that the listener must not be called any more. */
    var isDone = false
        private set

    /**
     * Returns the request to write now and assigns the exchange to [receiver], which becomes responsible for releasing the request, or
     * returns null if the request has expired.
     */
    fun takeRequest(receiver: ServerConnection): FullHttpRequest? {
        val taken = checkNotNull(request) { "the request of this exchange was already taken" }
        request = null
        val created =
            when (taken) {
                is OutgoingRequest.Ready -> taken.request
                is OutgoingRequest.Deferred -> taken.create()
            }
        if (created != null) {
            connection = receiver
            numberOnConnection = receiver.exchangeCount + 1
        }
        return created
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
        if (!isDone) connection?.setReading(isReading)
    }

    private fun finish(): Boolean {
        if (isDone) return false
        isDone = true
        (request as? OutgoingRequest.Ready)?.request?.release()
        request = null
        return true
    }
}
