package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * One connection to a server.
 *
 * It is kept only if the whole request left and the whole answer came, framed by a length, with nothing before or after it: any other
 * byte would be taken for a part of the next answer. An answer without a length ends with its connection, and is whole only if the
 * connection was not reset. An answer to an earlier request is skipped.
 *
 * @param release takes the connection back with the idle time that the server announced, in milliseconds, or null; 0 if it must close
 */
internal class ServerConnection(
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val release: (ServerConnection, Long?) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var exchange: PendingExchange? = null
    private var requestWrite: ChannelFuture? = null
    private var head: HttpResponse? = null
    private var isSkippingResponse = false
    private var isUnusable = false

    /** When the connection became idle, in milliseconds. */
    var idleSinceMs = 0L
        private set

    /** When an idle connection must no longer be used, in milliseconds. */
    var expiresAtMs = 0L
        private set

    /** Whether the connection can carry another exchange. */
    val isOpen: Boolean get() = context?.channel()?.isActive == true

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Begins [next] on this connection, which must be idle. */
    fun start(next: PendingExchange) {
        check(exchange == null) { "the connection is in use" }
        val ctx = checkNotNull(context) { "the connection has no channel" }
        exchange = next
        head = null
        ctx.channel().config().isAutoRead = true
        requestWrite = ctx.writeAndFlush(next.takeRequest(this))
    }

    /** Notes that the connection is idle and may be used again within [idleTimeoutMs]. */
    fun markIdle(idleTimeoutMs: Long) {
        idleSinceMs = clock.nowMs()
        expiresAtMs = idleSinceMs + idleTimeoutMs
    }

    fun setReading(isReading: Boolean) {
        context?.channel()?.config()?.isAutoRead = isReading
    }

    /** Closes the connection. */
    fun close() {
        context?.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        try {
            val active = exchange
            if (active == null || active.isDone) ctx.close() else read(ctx, msg as HttpObject, active)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun read(
        ctx: ChannelHandlerContext,
        msg: HttpObject,
        active: PendingExchange,
    ) {
        if (msg.decoderResult().isFailure) {
            fail(ctx, if (head == null) ExchangeFailure.MALFORMED else ExchangeFailure.CUT)
            return
        }
        if (msg is HttpResponse) readHead(msg, active)
        if (msg is HttpContent && !active.isDone && head != null) readContent(ctx, msg, active)
    }

    private fun readHead(
        response: HttpResponse,
        active: PendingExchange,
    ) {
        if (response.status().code() in INFORMATIONAL_STATUS) return
        head = response
        isSkippingResponse = !active.listener.matches(response)
        if (isSkippingResponse) isUnusable = true else active.listener.onHead(response)
    }

    private fun readContent(
        ctx: ChannelHandlerContext,
        msg: HttpContent,
        active: PendingExchange,
    ) {
        if (!isSkippingResponse && msg.content().isReadable) active.listener.onContent(msg.content())
        if (msg !is LastHttpContent || active.isDone) return
        if (isSkippingResponse) head = null else finish(ctx, active)
    }

    private fun finish(
        ctx: ChannelHandlerContext,
        active: PendingExchange,
    ) {
        exchange = null
        val response = checkNotNull(head) { "an answer without a head ended" }
        val isFramed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        val canKeep = isFramed && !isUnusable && HttpUtil.isKeepAlive(response) && requestWrite?.isSuccess == true && ctx.channel().isActive
        release(this, if (canKeep) announcedIdleTimeoutMs(response) else 0)
        active.end()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.failure("server connection", cause)
        fail(ctx, if (head == null) ExchangeFailure.CLOSED_BEFORE_HEAD else ExchangeFailure.CUT)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        fail(ctx, if (head == null) ExchangeFailure.CLOSED_BEFORE_HEAD else ExchangeFailure.CUT)
    }

    private fun fail(
        ctx: ChannelHandlerContext,
        failure: ExchangeFailure,
    ) {
        val active = exchange
        exchange = null
        ctx.close()
        active?.fail(failure)
    }

    private companion object {
        val INFORMATIONAL_STATUS = 100..199
        const val TIMEOUT_PARAMETER = "timeout="
        const val MS_PER_S = 1_000L
        const val KEEP_ALIVE = "keep-alive"

        /** The connection is retired this much before the server may close it: a few round trips and a late timer. */
        const val IDLE_MARGIN_MS = 300L

        fun announcedIdleTimeoutMs(response: HttpResponse): Long? {
            val text = response.headers().get(KEEP_ALIVE) ?: return null
            val timeout = text.split(',').map { it.trim() }.firstOrNull { it.startsWith(TIMEOUT_PARAMETER) } ?: return null
            val seconds = timeout.removePrefix(TIMEOUT_PARAMETER).toLongOrNull() ?: return null
            return (seconds * MS_PER_S - IDLE_MARGIN_MS).coerceAtLeast(0)
        }
    }
}
