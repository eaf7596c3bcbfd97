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
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** A short text response to the platform or to an operator. */
class StatusResponse(
    val status: HttpResponseStatus,
    val text: String,
)

/**
 * Listens on [address] for simple GET requests.
 *
 * @param respond returns the response for a path
 */
class StatusServer(
    private val loop: EventLoop,
    private val address: Address,
    private val respond: (String) -> StatusResponse,
) {
    /** Starts listening. */
    fun start() {
        ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(child: Channel) {
                        child.pipeline().addLast(HttpServerCodec(), StatusHandler())
                    }
                },
            ).bind(address.host, address.port)
            .sync()
    }

    private inner class StatusHandler : SimpleChannelInboundHandler<HttpObject>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: HttpObject,
        ) {
            if (msg !is HttpRequest) return
            val result = respond(msg.uri().substringBefore('?'))
            val body = Unpooled.copiedBuffer(result.text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status, body)
            HttpUtil.setContentLength(response, body.readableBytes().toLong())
            val isKeepAlive = HttpUtil.isKeepAlive(msg)
            HttpUtil.setKeepAlive(response, isKeepAlive)
            val future = ctx.writeAndFlush(response)
            if (!isKeepAlive) future.addListener(ChannelFutureListener.CLOSE)
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            ctx.close()
        }
    }
}
