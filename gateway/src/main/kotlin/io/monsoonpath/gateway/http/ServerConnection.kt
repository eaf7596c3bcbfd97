package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Handles one connection to a server.
 *
 * The connection is reused only if the request was sent completely and the response was complete, had a length or was chunked, and was
 * the only one. Extra bytes would be taken for a part of the next response, whether or not they are one: any byte after the response,
 * or while the connection is idle, ends its use, and a head that contains another one is malformed. A response to an earlier request is
 * skipped. On a connection that was used before, a response of [ResponseOwner.UNKNOWN] is malformed, since it may be a late copy.
 *
 * A response without a length ends when the connection is closed. It is complete only if the connection was not reset and the request had
 * been written completely: when a write fails, the channel closes without an error that tells a reset from an end.
 *
 * @param release returns the connection to its pool with the idle timeout that the server announced, in milliseconds, or null if it
 * announced none; 0 if the connection must be closed
 */
internal class ServerConnection(
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val strayBytes: StrayBytesReporter,
    private val release: (ServerConnection, Long?) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var exchange: PendingExchange? = null
    private var requestWrite: ChannelFuture? = null
    private var head: HttpResponse? = null
    private var isSkippingResponse = false
    private var isUnusable = false
    private var skippedBytes = 0L
    private var informationalCount = 0

    private val decoder = ServerResponseDecoder { method }
    private var method: HttpMethod? = null

    /** The number of exchanges that were started on this connection. */
    var exchangeCount = 0
        private set

    /** The time at which the connection became idle, in milliseconds. */
    var idleSinceMs = 0L
        private set

    /** The time from which an idle connection must not be used any more, in milliseconds. */
    var expiresAtMs = 0L
        private set

    /** Whether the connection is established and not closed. */
    val isOpen: Boolean get() = context?.channel()?.isActive == true

    /** Returns the handlers of a channel to the server, in their order. */
    fun handlers(): List<ChannelHandler> = listOf(idleGuard(), decoder, HttpRequestEncoder(), this)

    /** Returns a handler that closes the channel when bytes arrive that belong to no request, before they are decoded. */
    private fun idleGuard() =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                msg: Any,
            ) {
                if (exchange != null) {
                    ctx.fireChannelRead(msg)
                } else {
                    strayBytes.report(StrayBytes.IDLE, exchangeCount, msg as ByteBuf)
                    ReferenceCountUtil.release(msg)
                    ctx.close()
                }
            }
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Starts [next] on this connection, which must be idle; returns false if its request has expired. */
    fun start(next: PendingExchange): Boolean {
        check(exchange == null) { "the connection already carries an exchange" }
        val ctx = checkNotNull(context) { "the connection has no channel" }
        val request = next.takeRequest(this) ?: return false
        exchange = next
        exchangeCount++
        method = request.method()
        head = null
        skippedBytes = 0
        informationalCount = 0
        ctx.channel().config().isAutoRead = true
        requestWrite = ctx.writeAndFlush(request)
        return true
    }

    /** Marks the connection as idle and usable for the next [idleTimeoutMs] milliseconds. */
    fun markIdle(idleTimeoutMs: Long) {
        idleSinceMs = clock.nowMs()
        expiresAtMs = idleSinceMs + idleTimeoutMs
        // Stray bytes and the end of the connection show only while it is read.
        setReading(true)
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
            strayBytes.report(StrayBytes.MALFORMED, exchangeCount, msg.decoderResult().cause().message)
            fail(ctx, if (head == null) ExchangeFailure.MALFORMED else ExchangeFailure.CUT)
            return
        }
        if (msg is HttpResponse) readHead(ctx, msg, active)
        if (msg is HttpContent && !active.isDone && head != null) readContent(ctx, msg, active)
    }

    private fun readHead(
        ctx: ChannelHandlerContext,
        response: HttpResponse,
        active: PendingExchange,
    ) {
        if (isSpliced(response)) return reject(ctx, StrayBytes.SPLICED, response)
        if (response.status().code() in INFORMATIONAL_STATUS) {
            if (++informationalCount > MAX_INFORMATIONAL) fail(ctx, ExchangeFailure.MALFORMED)
            return
        }
        when (active.listener.ownerOf(response)) {
            ResponseOwner.THIS_REQUEST -> accept(response, active)
            ResponseOwner.UNKNOWN -> if (exchangeCount > 1) reject(ctx, StrayBytes.UNNAMED, response) else accept(response, active)
            ResponseOwner.OTHER_REQUEST -> skip(ctx, response)
        }
    }

    private fun accept(
        response: HttpResponse,
        active: PendingExchange,
    ) {
        head = response
        isSkippingResponse = false
        active.listener.onHead(response)
    }

    /** Skips a response to another request. Without a length, it would end with the connection, and no other could follow. */
    private fun skip(
        ctx: ChannelHandlerContext,
        response: HttpResponse,
    ) {
        if (decoder.endsWithConnection(response)) return reject(ctx, StrayBytes.OTHER_RESPONSE, response)
        strayBytes.report(StrayBytes.OTHER_RESPONSE, exchangeCount, response.status().toString())
        head = response
        isSkippingResponse = true
        isUnusable = true
    }

    private fun reject(
        ctx: ChannelHandlerContext,
        kind: StrayBytes,
        response: HttpResponse,
    ) {
        strayBytes.report(kind, exchangeCount, response.status().toString())
        fail(ctx, ExchangeFailure.MALFORMED)
    }

    private fun readContent(
        ctx: ChannelHandlerContext,
        msg: HttpContent,
        active: PendingExchange,
    ) {
        if (isSkippingResponse) {
            skippedBytes += msg.content().readableBytes()
            if (skippedBytes > MAX_SKIPPED_BYTES) return fail(ctx, ExchangeFailure.MALFORMED)
        } else if (msg.content().isReadable) {
            active.listener.onContent(msg.content())
        }
        if (msg !is LastHttpContent || active.isDone) return
        if (!isSkippingResponse) return finish(ctx, active)
        // The trailers of a copy that is broken off are the head of the response that is due.
        if (!msg.trailingHeaders().isEmpty) return reject(ctx, StrayBytes.SPLICED, checkNotNull(head) { "the body has no head" })
        head = null
    }

    private fun finish(
        ctx: ChannelHandlerContext,
        active: PendingExchange,
    ) {
        val response = checkNotNull(head) { "the response ended before its head" }
        val isFramed = isFramed(response)
        val isEndedByClose = !isFramed && !ctx.channel().isActive
        if (isEndedByClose && requestWrite?.isSuccess != true) {
            fail(ctx, ExchangeFailure.CUT)
            return
        }
        exchange = null
        if (decoder.hasUnreadBytes) strayBytes.report(StrayBytes.TRAILING, exchangeCount)
        val canKeep =
            isFramed &&
                !isUnusable &&
                !decoder.hasUnreadBytes &&
                active.listener.isReusable() &&
                HttpUtil.isKeepAlive(response) &&
                requestWrite?.isSuccess == true &&
                ctx.channel().isActive
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

        /** More informational responses, or bytes of other responses, before the expected response show a server without end. */
        const val MAX_INFORMATIONAL = 100
        const val MAX_SKIPPED_BYTES = 4L shl 20
        const val TIMEOUT_PARAMETER = "timeout="
        const val MS_PER_S = 1_000L
        const val KEEP_ALIVE = "keep-alive"

        /** How long before the server may close it an idle connection expires: allows for a few round trips and a late timer. */
        const val IDLE_MARGIN_MS = 300L

        fun announcedIdleTimeoutMs(response: HttpResponse): Long? {
            val text = response.headers().get(KEEP_ALIVE) ?: return null
            val timeout = text.split(',').map { it.trim() }.firstOrNull { it.startsWith(TIMEOUT_PARAMETER) } ?: return null
            val seconds = timeout.removePrefix(TIMEOUT_PARAMETER).toLongOrNull() ?: return null
            return (seconds * MS_PER_S - IDLE_MARGIN_MS).coerceAtLeast(0)
        }
    }
}
