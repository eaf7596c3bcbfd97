package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/** A short text response to the platform or to an operator. */
class StatusResponse(
    val status: HttpResponseStatus,
    val text: String,
)

/**
 * Listens on [address] for simple GET requests.
 *
 * What all clients together can hold is bounded by constants: [MAX_CONNECTIONS], of which the one without an answer for longest is closed
 * for a new one, heads of [MAX_HEAD_BYTES], no kept bodies, one unread response for each connection, and [TIMEOUT_MS].
 *
 * @param respond returns the response for a path
 */
class StatusServer(
    private val loop: EventLoop,
    private val address: Address,
    private val respond: (String) -> StatusResponse,
) {
    /** The open connections; the one whose last response is oldest comes first. */
    private val connections = LinkedHashSet<Channel>()

    /** Starts listening. */
    fun start() {
        ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            // Other connections have their turn after each read, so that no client holds up the readiness check of another.
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1))
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(child: Channel) = accept(child)
                },
            ).bind(address.host, address.port)
            .sync()
    }

    private fun accept(child: Channel) {
        if (connections.size >= MAX_CONNECTIONS) connections.first().also { connections.remove(it) }.close()
        connections.add(child)
        child.closeFuture().addListener { connections.remove(child) }
        child.pipeline().addLast(createDecoder(), HttpResponseEncoder(), StatusHandler())
    }

    private fun createDecoder(): HttpRequestDecoder =
        HttpRequestDecoder(
            HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_HEAD_BYTES)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setHeadersFactory(CallerHeadersFactory(DefaultHttpHeadersFactory.headersFactory(), MAX_FIELDS) { true })
                .setTrailersFactory(CallerHeadersFactory(DefaultHttpHeadersFactory.trailersFactory(), MAX_FIELDS) { true }),
        )

    private inner class StatusHandler : SimpleChannelInboundHandler<HttpObject>() {
        private var timer: ScheduledFuture<*>? = null
        private var isClosing = false

        /** Whether the socket has not taken the last response completely. */
        private var isUnread = false

        override fun channelActive(ctx: ChannelHandlerContext) = restartTimer(ctx)

        override fun channelInactive(ctx: ChannelHandlerContext) {
            timer?.cancel(false)
        }

        private fun restartTimer(ctx: ChannelHandlerContext) {
            timer?.cancel(false)
            timer = ctx.executor().schedule({ ctx.close() }, TIMEOUT_MS, TimeUnit.MILLISECONDS)
        }

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: HttpObject,
        ) {
            if (isClosing) return
            if (msg.decoderResult().isFailure || isUnread) {
                isClosing = true
                ctx.close()
                return
            }
            if (msg is HttpRequest) answer(ctx, msg)
        }

        private fun answer(
            ctx: ChannelHandlerContext,
            request: HttpRequest,
        ) {
            val result = respond(request.uri().substringBefore('?'))
            val body = Unpooled.copiedBuffer(result.text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, body)
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            isClosing = !HttpUtil.isKeepAlive(request)
            HttpUtil.setKeepAlive(response, !isClosing)
            isUnread = true
            val future = ctx.writeAndFlush(response)
            future.addListener { if (it.isSuccess) answered(ctx) }
            if (isClosing) future.addListener(ChannelFutureListener.CLOSE)
        }

        private fun answered(ctx: ChannelHandlerContext) {
            isUnread = false
            restartTimer(ctx)
            if (connections.remove(ctx.channel())) connections.add(ctx.channel())
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            ctx.close()
        }
    }

    private companion object {
        /** The platform checks readiness and collects metrics from a few machines. */
        const val MAX_CONNECTIONS = 64
        const val MAX_HEAD_BYTES = 4 * 1024
        const val MAX_FIELDS = 64
        const val READ_BYTES = 2 * 1024

        /** The time for a request, for reading its response, and between two requests. Longer than the usual 15 s between scrapes. */
        const val TIMEOUT_MS = 20_000L
    }
}
