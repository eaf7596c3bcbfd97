package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
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
    private val budget: CallerBudget = CallerBudget(CallerCapacity.of(Runtime.getRuntime().maxMemory(), 0, 0), clock, log),
) : ChannelInboundHandlerAdapter(),
    MemoryHolder {
    private var context: ChannelHandlerContext? = null
    private var head: HttpRequest? = null

    private var body: CallerBody? = null

    /** The length of the body so far, which is not kept if the request is refused by its head. */
    private var bodyBytes = 0
    private var isHeadChecked = false
    private var headRefusal: HeadRefusal? = null

    private val account = CallerAccount(budget, this)

    /** What is charged for the request that is being read, and for those that are queued. */
    private var requestBytes = 0L
    private var queuedBytes = 0L
    private val readAhead = CallerReadAhead(account, ::mayDecode, ::receivesBytes, ::readQueued)
    private var isAwaitingReader = false
    private var unreadBytes = Long.MAX_VALUE

    /** When the connection was opened, the unfinished request began, or the last response ended. */
    private var sinceMs = clock.nowMs()
    private var active: ActiveRequest? = null
    private val queuedMessages = ArrayDeque<Any>()
    private var timer: ScheduledFuture<*>? = null
    private var isReadingHead = false
    private var headReceivedAtMs = 0L

    /** When the caller gives up the request whose body is being read, or null as long as that is not needed. */
    private var bodyEndsAtMs: Long? = null
    private var lastPartAtMs = 0L
    private var isClosing = false

    /** The responses whose last byte was not written to the socket yet. */
    private var unwrittenResponses = 0

    /** Whether a request is being read or served. */
    private val isBusy: Boolean get() = active != null || head != null || isReadingHead

    /** Whether closing the connection now would cut off a request or a response. */
    val isInUse: Boolean get() = isBusy || unwrittenResponses > 0

    override val holding: Holding
        get() =
            Holding(
                account.bytes,
                sinceMs,
                when {
                    active != null -> Holding.State.SERVED
                    unwrittenResponses > 0 -> Holding.State.UNFINISHED
                    isClosing -> Holding.State.CLOSING
                    isBusy || queuedMessages.isNotEmpty() || readAhead.isHolding -> Holding.State.UNFINISHED
                    else -> Holding.State.IDLE
                },
            )

    override fun evict() {
        if (active != null) return
        val isReading = !isClosing && (head != null || isReadingHead)
        if (isReading) reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        if (!isReading || pendingBytes() > 0) close()
        isClosing = true
        account.freeAll()
    }

    /** Returns a decoder of requests whose header fields are charged to the budget. */
    fun decoder(config: HttpDecoderConfig): HttpRequestDecoder {
        val maxFields = CallerHeaders.maxFields(config.maxHeaderSize)
        return HttpRequestDecoder(
            config
                .setHeadersFactory(CallerHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), maxFields, ::charge))
                .setTrailersFactory(CallerHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), maxFields, ::charge)),
        )
    }

    private fun charge(bytes: Long): Boolean = !isClosing && account.charge(bytes)

    /** Returns a channel handler that detects the first byte of a request, and holds what is received ahead of the responses. */
    fun firstByteHandler(): ChannelHandler = readAhead

    /** Starts the timeout for the head of the next request. */
    private fun receivesBytes() {
        if (isBusy || isClosing) return
        isReadingHead = true
        sinceMs = clock.nowMs()
        restartTimer(limits().headerTimeoutMs)
    }

    /** What follows a connection's last request is decoded and dropped. */
    private fun mayDecode(): Boolean =
        isClosing || !isAwaitingReader && (active == null || queuedMessages.size < MAX_QUEUED_MESSAGES && queuedBytes < MAX_QUEUED_BYTES)

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelActive(ctx: ChannelHandlerContext) = restartTimer(limits().idleTimeoutMs)

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        readAhead.countMessage()
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
        val bytes = messageBytes(msg)
        if (!charge(bytes)) {
            // The request that is being served ends as usual; those after it have not run.
            ReferenceCountUtil.release(msg)
            active?.endConnection()
            return
        }
        queuedBytes += bytes
        queuedMessages.addLast(msg)
        if (!mayDecode()) ctx.channel().config().isAutoRead = false
    }

    private fun messageBytes(msg: Any): Long =
        when (msg) {
            is HttpRequest -> HEAD_BYTES + 2 * msg.uri().length
            is HttpContent -> CONTENT_BYTES + msg.content().readableBytes()
            else -> CONTENT_BYTES
        }

    private fun read(msg: Any) {
        try {
            if (msg is HttpRequest) readHead(msg)
            if (msg is HttpContent && head != null) readBody(msg)
        } finally {
            if (msg is LastHttpContent) account.free((msg.trailingHeaders() as? CallerHeaders)?.chargedBytes ?: 0)
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
        if (!charge(messageBytes(request))) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
            return
        }
        requestBytes = messageBytes(request) + ((request.headers() as? CallerHeaders)?.chargedBytes ?: 0)
        head = request
        body = CallerBody(HttpUtil.getContentLength(request, Long.MAX_VALUE), ::charge)
        bodyBytes = 0
        isHeadChecked = false
        headRefusal = null
        headReceivedAtMs = clock.nowMs()
        bodyEndsAtMs = null
        restartTimer(limits().idleTimeoutMs)
        if (HttpUtil.is100ContinueExpected(request)) {
            context?.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun readBody(content: HttpContent) {
        val head = checkNotNull(head) { "the request has a body before its head" }
        if (content.decoderResult().isFailure) {
            reject(statusOf(content.decoderResult().cause()))
            return
        }
        if (!isHeadChecked && content !is LastHttpContent) {
            isHeadChecked = true
            headRefusal = handler.refusalOf(head, headReceivedAtMs)
        }
        bodyBytes += content.content().readableBytes()
        when {
            bodyBytes > limits().maxBodyBytes -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            headRefusal == null && !append(content.content()) -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
            content is LastHttpContent -> serve()
            else -> awaitBody(head)
        }
    }

    /** Keeps [bytes] of the body, and returns false if the budget has no memory for them. */
    private fun append(bytes: ByteBuf): Boolean {
        val allocator = context?.alloc() ?: return false
        return !bytes.isReadable || checkNotNull(body) { "the request has no body" }.append(bytes, allocator)
    }

    /**
     * A body that arrives byte by byte must not hold the connection for longer than its caller waits. The timer is not restarted for each
     * part, which would cost more than the part itself; [awaitsBody] prolongs it.
     */
    private fun awaitBody(head: HttpRequest) {
        lastPartAtMs = clock.nowMs()
        if (bodyEndsAtMs != null) return
        bodyEndsAtMs = headReceivedAtMs + minOf(handler.timeoutMs(head) ?: MAX_BODY_TIME_MS, MAX_BODY_TIME_MS)
        restartTimer(bodyRemainingMs())
    }

    /** Returns how long the next part of the body is awaited. */
    private fun bodyRemainingMs(): Long = minOf(lastPartAtMs + limits().idleTimeoutMs, bodyEndsAtMs ?: Long.MAX_VALUE) - clock.nowMs()

    /** Returns whether the next part of a body is still awaited, and if so waits on. */
    private fun awaitsBody(): Boolean {
        val remainingMs = if (head != null && bodyEndsAtMs != null) bodyRemainingMs() else 0
        if (remainingMs > 0) restartTimer(remainingMs)
        return remainingMs > 0
    }

    private fun serve() {
        val heldBytes = requestBytes + (body?.chargedBytes ?: 0)
        val request = CallerRequest(checkNotNull(head), body?.take() ?: Unpooled.EMPTY_BUFFER, headReceivedAtMs)
        val next = ActiveRequest(request, heldBytes)
        head = null
        body = null
        requestBytes = 0
        timer?.cancel(false)
        active = next
        readAhead.countRequest()
        headRefusal?.let {
            it.write(next)
            return
        }
        val running = handler.handle(request, next)
        if (next.isDone) return
        next.running = running
    }

    private fun reject(status: HttpResponseStatus) {
        discardRequest()
        isClosing = true
        sinceMs = clock.nowMs()
        restartTimer(limits().idleTimeoutMs)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_S)
        context?.writeAndFlush(response)?.addListener(ChannelFutureListener.CLOSE)
    }

    private fun discardRequest() {
        head = null
        account.free(requestBytes + (body?.chargedBytes ?: 0))
        body?.take()?.release()
        body = null
        isReadingHead = false
        requestBytes = 0
    }

    private fun restartTimer(delayMs: Long) {
        timer?.cancel(false)
        timer = context?.executor()?.schedule(::timedOut, delayMs, TimeUnit.MILLISECONDS)
    }

    private fun timedOut() {
        if (active != null || awaitsBody() || isProgressing()) return
        if (isClosing) {
            close()
            return
        }
        if (isReadingHead || head != null) reject(HttpResponseStatus.REQUEST_TIMEOUT) else close()
    }

    /** Returns whether the caller is reading a response, and if so waits again. */
    private fun isProgressing(): Boolean {
        if (unwrittenResponses == 0) return false
        val pendingBytes = pendingBytes()
        val hasRead = pendingBytes <= unreadBytes - MIN_PROGRESS_BYTES
        if (hasRead) {
            unreadBytes = pendingBytes
            restartTimer(limits().idleTimeoutMs)
        } else {
            budget.record("unread", holding)
        }
        return hasRead
    }

    private fun pendingBytes(): Long =
        context
            ?.channel()
            ?.unsafe()
            ?.outboundBuffer()
            ?.totalPendingWriteBytes() ?: 0

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
        queuedBytes = 0
        readAhead.discard()
        account.freeAll()
        active?.onCallerDisconnected()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause is OutOfMemoryError) budget.record("allocation", holding) else log.failure("caller connection", cause)
        ctx.close()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isWritable) return
        active?.notifyDrained()
        if (!isAwaitingReader) return
        isAwaitingReader = false
        ctx.executor().execute(::readQueued)
    }

    private fun readNext(isReusable: Boolean) {
        active = null
        sinceMs = clock.nowMs()
        val ctx = context ?: return
        if (!ctx.channel().isActive) return
        unreadBytes = pendingBytes()
        restartTimer(limits().idleTimeoutMs)
        if (!isReusable) return
        // A caller that does not read its responses gets no more of them.
        isAwaitingReader = !ctx.channel().isWritable
        if (!isAwaitingReader) readQueued()
    }

    private fun readQueued() {
        while (active == null && !isClosing && !isAwaitingReader) {
            val msg = queuedMessages.removeFirstOrNull() ?: break
            val bytes = messageBytes(msg)
            queuedBytes -= bytes
            account.free(bytes)
            read(msg)
        }
        if (readAhead.isHolding && mayDecode()) {
            receivesBytes()
            readAhead.decodeHeld()
        }
        if (!readAhead.isHolding && mayDecode() && context?.channel()?.isActive == true) context?.channel()?.config()?.isAutoRead = true
    }

    /** The request that is being served, and the writer of its response. */
    private inner class ActiveRequest(
        private val request: CallerRequest,
        private val heldBytes: Long,
    ) : ResponseWriter {
        var running: RunningRequest? = null
        var isDone = false
            private set
        private var isKeepAlive = HttpUtil.isKeepAlive(request.head)
        private var onDrainedAction: (() -> Unit)? = null
        private var isDisconnected = false
        private var hasToEnd = false

        /** Closes the connection after the response. */
        fun endConnection() {
            hasToEnd = true
        }

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
            if (isDone) bytes.release() else write(DefaultHttpContent(bytes), bytes.readableBytes())
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
            val future = write(message, (message as? DefaultFullHttpResponse)?.content()?.readableBytes() ?: 0)
            if (future != null) {
                unwrittenResponses++
                future.addListener { unwrittenResponses-- }
            }
            if (!isKeepAlive || hasToEnd) {
                isClosing = true
                future?.addListener(ChannelFutureListener.CLOSE)
            }
            finish(isReusable = isKeepAlive && !hasToEnd)
        }

        /** Writes [message], whose [bytes] are charged until the socket has taken them. */
        private fun write(
            message: Any,
            bytes: Int,
        ): ChannelFuture? {
            account.chargeAlways(bytes.toLong())
            return context?.writeAndFlush(message)?.addListener { account.free(bytes.toLong()) }
        }

        private fun setConnectionHeader(headers: HttpHeaders) {
            if (isDraining() || hasToEnd) isKeepAlive = false
            if (isKeepAlive) {
                headers.set(KEEP_ALIVE, "timeout=${limits().idleTimeoutMs / MS_PER_S}")
            } else {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            }
        }

        private fun finish(isReusable: Boolean) {
            isDone = true
            request.body.release()
            account.free(heldBytes)
            // The response may complete inside the call to the handler, so queued messages are read in a later task of the event loop.
            if (isDisconnected) active = null else context?.executor()?.execute { readNext(isReusable) }
        }
    }

    private companion object {
        const val MAX_QUEUED_MESSAGES = 32

        /** What a caller may send ahead of the responses, besides the buffer of one read. */
        const val MAX_QUEUED_BYTES = 64 * 1024L

        /** The objects of a head without its fields, and of a part of a body without its bytes. */
        const val HEAD_BYTES = 1_024L
        const val CONTENT_BYTES = 256L

        /** The least that a caller has to read of a finished response within the idle time, so that it ends after few of these. */
        const val MIN_PROGRESS_BYTES = 16 * 1024
        const val RETRY_AFTER_S = "1"

        /** The longest time in which a body may arrive if its caller does not state how long it waits. */
        const val MAX_BODY_TIME_MS = 600_000L
        const val MS_PER_S = 1_000L
        const val KEEP_ALIVE = "keep-alive"
    }
}
