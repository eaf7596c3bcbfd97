package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.Scheduler
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpResponse

/** The outcome of an exchange whose response is read as a whole. */
sealed interface ExchangeOutcome {
    /** The complete response was received; [body] is valid only during the call. */
    class Completed(
        val response: HttpResponse,
        val body: ByteBuf,
    ) : ExchangeOutcome

    /** The exchange ended without a complete response. */
    class Failed(
        val failure: ExchangeFailure,
    ) : ExchangeOutcome

    /** No complete response was received within [timeoutMs] milliseconds; the exchange was cancelled. */
    class TimedOut(
        val timeoutMs: Long,
    ) : ExchangeOutcome
}

/**
 * Collects a complete response of at most [maxBodyBytes] bytes and passes it to [done].
 *
 * @param isReusable returns whether the connection can be used again after the given response
 * @param onHead called with the head of the response as soon as it has arrived
 */
class FullResponseListener(
    private val maxBodyBytes: Int,
    private val isReusable: (ExchangeOutcome.Completed) -> Boolean = { true },
    private val onHead: (HttpResponse) -> Unit = {},
    private val done: (ExchangeOutcome) -> Unit,
) : ExchangeListener {
    private var response: HttpResponse? = null
    private val body = Unpooled.buffer()
    private var isTooLong = false

    override fun onHead(response: HttpResponse) {
        this.response = response
        onHead.invoke(response)
    }

    override fun onContent(content: ByteBuf) {
        if (isTooLong) return
        if (body.readableBytes() + content.readableBytes() <= maxBodyBytes) {
            body.writeBytes(content, content.readerIndex(), content.readableBytes())
            return
        }
        isTooLong = true
        body.clear()
        done(ExchangeOutcome.Failed(ExchangeFailure.TOO_LONG))
    }

    override fun isReusable(): Boolean = isReusable(completed())

    override fun onEnd() = done(completed())

    private fun completed() = ExchangeOutcome.Completed(checkNotNull(response) { "the response ended before its head" }, body)

    override fun onFailure(failure: ExchangeFailure) = done(ExchangeOutcome.Failed(failure))
}

/**
 * Sends [request] and calls [done] once with the outcome, unless the returned exchange is cancelled.
 *
 * @param timeoutMs the time in milliseconds after which the exchange is cancelled
 * @param maxBodyBytes the maximum length of the body; a longer response counts as failed
 * @param isReusable returns whether the connection can be used again after the given response
 * @param onHead called with the head of the response as soon as it has arrived
 */
fun ServerConnectionPool.exchange(
    request: OutgoingRequest,
    timeoutMs: Long,
    maxBodyBytes: Int,
    scheduler: Scheduler,
    isReusable: (ExchangeOutcome.Completed) -> Boolean = { true },
    onHead: (HttpResponse) -> Unit = {},
    done: (ExchangeOutcome) -> Unit,
): Exchange {
    var isFinished = false
    var sent: Exchange? = null
    val complete = { outcome: ExchangeOutcome ->
        if (!isFinished) {
            isFinished = true
            // A response that is too long is still being received.
            if (outcome is ExchangeOutcome.Failed) sent?.cancel()
            done(outcome)
        }
    }
    val exchange = send(request, FullResponseListener(maxBodyBytes, isReusable, onHead, complete)).also { sent = it }
    scheduler.schedule(timeoutMs) {
        if (!isFinished) {
            exchange.cancel()
            complete(ExchangeOutcome.TimedOut(timeoutMs))
        }
    }
    return object : Exchange by exchange {
        override fun cancel() {
            isFinished = true
            exchange.cancel()
        }
    }
}
