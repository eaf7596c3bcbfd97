package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.Scheduler
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse

/** What came of an exchange whose answer is read as a whole. */
sealed interface ExchangeOutcome {
    /** The whole answer; [body] is valid only during the call. */
    class Completed(
        val response: HttpResponse,
        val body: ByteBuf,
    ) : ExchangeOutcome

    /** No whole answer came. */
    class Failed(
        val failure: ExchangeFailure,
    ) : ExchangeOutcome

    /** No whole answer came within [timeoutMs]; the exchange was given up. */
    class TimedOut(
        val timeoutMs: Long,
    ) : ExchangeOutcome
}

/** Collects a whole answer and hands it to [done]. */
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

    override fun onEnd() = done(ExchangeOutcome.Completed(checkNotNull(response) { "an answer without a head ended" }, body))

    override fun onFailure(failure: ExchangeFailure) = done(ExchangeOutcome.Failed(failure))
}

/** Sends [request] and tells [done] once what came of it within [timeoutMs]; an exchange that is cancelled is heard of no more. */
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
