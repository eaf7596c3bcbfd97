package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * Handles the connection of one caller: reads a complete request, passes it to [handler], writes the response and reads the next request.
 *
 * Reading continues while a request is served, so that a disconnect of the caller is detected. Messages that arrive meanwhile are queued.
 */
internal class CallerConnection(
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val limits: () -> CallerLimits,
    private val handler: RequestHandler,
    private val isDraining: () -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var active: ActiveRequest? = null
    private val queuedMessages = ArrayDeque<Any>()
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false
    private var headReceivedAtMs = 0L

    /** When the caller gives up the request whose body is being read, or null as long as that is not needed. */
    private var bodyEndsAtMs: Long? = null
    private var isClosing = false

    /** The responses whose last byte was not written to the socket yet. */
    private var unwrittenResponses = 0

    /** Whether a request is being read or served. */
    private val isBusy: Boolean get() = active != null || head != null || isReadingHead

    /** Whether closing the connection now would cut off a request or a response. */
    val isInUse: Boolean get() = isBusy || unwrittenResponses > 0

    /** Returns a channel handler that detects the first byte of a request and starts the timeout for its head. */
    fun firstByteHandler(): ChannelHandler =
        object : ChannelInboundHandlerAdapter() {
            override fun channelRead(
                ctx: ChannelHandlerContext,
                msg: Any,
            ) {
                if (!isBusy && !isClosing) {
                    isReadingHead = true
                    restartTimer(limits().headerTimeoutMs)
                }
                ctx.fireChannelRead(msg)
            }
        }

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) = restartTimer(limits().idleTimeoutMs)

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        when {
            isClosing -> ReferenceCountUtil.release(msg)
            active != null -> enqueue(ctx, msg)
            else -> read(msg)
        }
    }

    private fun enqueue(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        queuedMessages.addLast(msg)
        if (queuedMessages.size >= MAX_QUEUED_MESSAGES) ctx.channel().config().isAutoRead = false
    }

    private fun read(msg: Any) {
        try {
            if (msg is HttpRequest) readHead(msg)
            if (msg is HttpContent && head != null) readBody(msg)
        } finally {
            ReferenceCountUtil.release(msg)
        }
    }

    private fun readHead(request: HttpRequest) {
        isReadingHead = false
        if (request.decoderResult().isFailure) {
            reject(statusOf(request.decoderResult().cause()))
            return
        }
        if (isAmbiguous(request)) {
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        head = request
        body = Unpooled.compositeBuffer(MAX_BODY_COMPONENTS)
        headReceivedAtMs = clock.nowMs()
        bodyEndsAtMs = null
        restartTimer(limits().idleTimeoutMs)
        if (HttpUtil.is100ContinueExpected(request)) {
            context?.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun readBody(content: HttpContent) {
        val body = checkNotNull(body) { "the request has a body before its head" }
        if (content.decoderResult().isFailure) {
            reject(HttpResponseStatus.BAD_REQUEST)
            return
        }
        if (content.content().isReadable) body.addComponent(true, content.content().retain())
        when {
            body.readableBytes() > limits().maxBodyBytes -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            content is LastHttpContent -> serve()
            else -> awaitBody(checkNotNull(head))
        }
    }

    /** A body that arrives byte by byte must not hold the connection for longer than its caller waits. */
    private fun awaitBody(head: HttpRequest) {
        val endsAtMs = bodyEndsAtMs ?: (headReceivedAtMs + minOf(handler.timeoutMs(head) ?: MAX_BODY_TIME_MS, MAX_BODY_TIME_MS))
        bodyEndsAtMs = endsAtMs
        restartTimer(minOf(limits().idleTimeoutMs, endsAtMs - clock.nowMs()))
    }

    private fun serve() {
        val request = CallerRequest(checkNotNull(head), checkNotNull(body), headReceivedAtMs)
        head = null
        body = null
        timer?.cancel(false)
        val next = ActiveRequest(request)
        active = next
        val running = handler.handle(request, next)
        if (next.isDone) return
        next.running = running
    }

    private fun reject(status: HttpResponseStatus) {
        discardRequest()
        isClosing = true
        timer?.cancel(false)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context?.writeAndFlush(response)?.addListener(ChannelFutureListener.CLOSE)
    }

    private fun discardRequest() {
        head = null
        body?.release()
        body = null
        isReadingHead = false
    }

    private fun restartTimer(delayMs: Long) {
        timer?.cancel(false)
        timer = context?.executor()?.schedule(::timedOut, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun timedOut() {
        if (active != null) return
        if (isReadingHead || head != null) reject(HttpResponseStatus.REQUEST_TIMEOUT) else close()
    }

    /** Closes the connection. */
    fun close() {
        context?.close()
    }

    /** Notifies the request that is being served of the shutdown; with [isEnding], the process ends right after it. */
    fun notifyShutdown(isEnding: Boolean) {
        active?.running?.onShutdown(isEnding)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timer?.cancel(false)
        discardRequest()
        queuedMessages.forEach(ReferenceCountUtil::release)
        queuedMessages.clear()
        active?.onCallerDisconnected()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.failure("caller connection", cause)
        ctx.close()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (ctx.channel().isWritable) active?.notifyDrained()
    }

    private fun readNext(isReusable: Boolean) {
        active = null
        val ctx = context ?: return
        if (!isReusable || !ctx.channel().isActive) return
        ctx.channel().config().isAutoRead = true
        restartTimer(limits().idleTimeoutMs)
        while (active == null && !isClosing) read(queuedMessages.removeFirstOrNull() ?: return)
    }

    /** The request that is being served, and the writer of its response. */
    private inner class ActiveRequest(
        private val request: CallerRequest,
    ) : ResponseWriter {
        var running: RunningRequest? = null
        var isDone = false
            private set
        private var isKeepAlive = HttpUtil.isKeepAlive(request.head)
        private var onDrainedAction: (() -> Unit)? = null
        private var isDisconnected = false

        override val isConnected: Boolean get() = !isDone && context?.channel()?.isActive == true

        override val isCongested: Boolean get() = !isDone && context?.channel()?.isWritable == false

        override fun onDrained(action: () -> Unit) {
            onDrainedAction = action
        }

        fun notifyDrained() {
            onDrainedAction?.also { onDrainedAction = null }?.invoke()
        }

        fun onCallerDisconnected() {
            if (isDone) return
            isDisconnected = true
            finish(isReusable = false)
            running?.onCallerDisconnected()
            // A closed connection becomes writable no more, and a request that goes on must not wait for it.
            notifyDrained()
        }

        override fun writeFull(
            status: HttpResponseStatus,
            headers: HttpHeaders,
            body: ByteBuf,
        ) {
            if (isDone) {
                body.release()
                return
            }
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            response.headers().add(headers)
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            writeResponse(response)
        }

        override fun writeHead(
            status: HttpResponseStatus,
            headers: HttpHeaders,
        ) {
            if (isDone) return
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
            response.headers().add(headers)
            HttpUtil.setTransferEncodingChunked(response, true)
            setConnectionHeader(response.headers())
            context?.write(response)
        }

        override fun writeContent(bytes: ByteBuf) {
            if (isDone) bytes.release() else context?.writeAndFlush(DefaultHttpContent(bytes))
        }

        override fun end() {
            if (!isDone) writeLast(LastHttpContent.EMPTY_LAST_CONTENT)
        }

        override fun abort() {
            if (isDone) return
            finish(isReusable = false)
            context?.close()
        }

        private fun writeResponse(response: DefaultFullHttpResponse) {
            setConnectionHeader(response.headers())
            writeLast(response)
        }

        private fun writeLast(message: Any) {
            val future = context?.writeAndFlush(message)
            if (future != null) {
                unwrittenResponses++
                future.addListener { unwrittenResponses-- }
            }
            if (!isKeepAlive) {
                isClosing = true
                future?.addListener(ChannelFutureListener.CLOSE)
            }
            finish(isReusable = isKeepAlive)
        }

        private fun setConnectionHeader(headers: HttpHeaders) {
            if (isDraining()) isKeepAlive = false
            if (isKeepAlive) {
                headers.set(KEEP_ALIVE, "timeout=${limits().idleTimeoutMs / MS_PER_S}")
            } else {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
        }

        private fun finish(isReusable: Boolean) {
            isDone = true
            request.body.release()
            // The response may complete inside the call to the handler, so queued messages are read in a later task of the event loop.
            if (isDisconnected) active = null else context?.executor()?.execute { readNext(isReusable) }
        }
    }

    private companion object {
        const val MAX_QUEUED_MESSAGES = 32
        const val MAX_BODY_COMPONENTS = 64

        /** The longest time in which a body may arrive if its caller does not state how long it waits. */
        const val MAX_BODY_TIME_MS = 600_000L
        const val MS_PER_S = 1_000L
        const val KEEP_ALIVE = "keep-alive"
    }
}
