package io.monsoonpath.app.client

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.ClientFactoryBuilder
import com.linecorp.armeria.client.ClientFactoryOptions
import com.linecorp.armeria.common.SessionProtocol
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelPipeline
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpResponse
import java.util.function.Consumer

/**
 * Makes the HTTP/1 connections of this factory fail a response whose head contains a second status line or is malformed, and close.
 *
 * A head with a second status line is the beginning of one response and the rest of another, for example because the server wrote a part of
 * an earlier response once more. The HTTP client would take the status of the one with the headers and the body of the other.
 *
 * The limits of the sizes of HTTP/1 heads and chunks are the defaults, whatever is set for this factory.
 */
internal fun ClientFactoryBuilder.rejectRepeatedHeads(): ClientFactoryBuilder =
    option(ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER, Consumer<ChannelPipeline> { it.addFirst(GuardInstaller()) })

/** A factory with [rejectRepeatedHeads], which uses the worker threads that all clients of the process share. */
internal val GUARDED_CLIENTS: ClientFactory by lazy { ClientFactory.builder().rejectRepeatedHeads().build() }

/**
 * Replaces the HTTP/1 codec by a [StrictClientCodec] with a [RepeatedHeadGuard] behind it once the protocol of the connection is known.
 *
 * It must come first in the pipeline, as handlers that learn the protocol may send requests at once. Bytes that the replaced codec has not
 * read are read by the new one.
 */
private class GuardInstaller : ChannelInboundHandlerAdapter() {
    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is SessionProtocol) {
            val codec = ctx.pipeline().context(HttpClientCodec::class.java)
            if (codec != null) {
                ctx.pipeline().addAfter(codec.name(), null, RepeatedHeadGuard())
                ctx.pipeline().replace(codec.handler(), null, StrictClientCodec())
            }
        }
        ctx.fireUserEventTriggered(event)
        if (event is SessionProtocol) ctx.pipeline().remove(this)
    }
}

private class RepeatedHeadGuard : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpResponse && message.decoderResult().isSuccess) {
            val line = message.secondStatusLineOrNull()
            if (line != null) message.decoderResult = DecoderResult.failure(RepeatedHeadException(line))
        }
        ctx.fireChannelRead(message)
    }

    private fun HttpResponse.secondStatusLineOrNull(): String? =
        status().reasonPhrase().takeIf { STATUS_LINE.containsMatchIn(it) }
            ?: headers()
                .firstOrNull { (name, value) ->
                    STATUS_LINE.containsMatchIn(name) || STATUS_LINE.containsMatchIn(value)
                }?.toString()
}

private class RepeatedHeadException(
    line: String,
) : RuntimeException("the head of the response contains a second status line: $line")

private val STATUS_LINE = Regex("HTTP/1\\.[01] [1-5][0-9][0-9]")
