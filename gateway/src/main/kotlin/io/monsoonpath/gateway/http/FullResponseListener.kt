package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.Scheduler
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
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

/** Collects a complete response and passes it to [done]. */
class FullResponseListener(
    private val done: (ExchangeOutcome) -> Unit,
) : ExchangeListener {
    private var response: HttpResponse? = null
    private val body = Unpooled.buffer()

    override fun onHead(response: HttpResponse) {
        this.response = response
    }

    override fun onContent(content: ByteBuf) {
        body.writeBytes(content, content.readerIndex(), content.readableBytes())
    }

    override fun onEnd() = done(ExchangeOutcome.Completed(checkNotNull(response) { "the response ended before its head" }, body))

    override fun onFailure(failure: ExchangeFailure) = done(ExchangeOutcome.Failed(failure))
}

/**
 * Sends [request] and calls [done] once with the outcome, unless the returned exchange is cancelled.
 *
 * @param timeoutMs the time in milliseconds after which the exchange is cancelled
 */
fun ServerConnectionPool.exchange(
    request: FullHttpRequest,
    timeoutMs: Long,
    scheduler: Scheduler,
    done: (ExchangeOutcome) -> Unit,
): Exchange {
    var isFinished = false
    val complete = { outcome: ExchangeOutcome ->
        if (!isFinished) {
            isFinished = true
            done(outcome)
        }
    }
    val exchange = send(request, FullResponseListener(complete))
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
