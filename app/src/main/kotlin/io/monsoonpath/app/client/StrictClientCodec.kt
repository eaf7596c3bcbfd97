package io.monsoonpath.app.client

import com.linecorp.armeria.common.Flags
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.CombinedChannelDuplexHandler
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.AsciiString

/**
 * The HTTP/1 codec of a client connection that takes a response for malformed if the name of a header is not directly followed by a colon
 * (RFC 9112, section 5.1), or if its status line has another version than 1.0 or 1.1 or a status that is not a number of three digits from
 * 100 to 599 (section 4).
 *
 * Netty's client codec accepts white space there, and with it any line whose first word is the name of a header: a status line after the
 * beginning of a header is then read as that header, without a trace.
 */
internal class StrictClientCodec : CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder>() {
    /** The methods of the requests whose responses are due. */
    private val methods = ArrayDeque<HttpMethod>()

    init {
        init(Decoder(), Encoder())
    }

    private inner class Decoder :
        HttpResponseDecoder(
            HttpDecoderConfig()
                .setMaxInitialLineLength(Flags.defaultHttp1MaxInitialLineLength())
                .setMaxHeaderSize(Flags.defaultHttp1MaxHeaderSize())
                .setMaxChunkSize(Flags.defaultHttp1MaxChunkSize()),
        ) {
        /** Is called once for each response. A response with an informational status is not the last one to its request. */
        override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
            val isFinal = (message as HttpResponse).status().codeClass() != HttpStatusClass.INFORMATIONAL
            val isToHead = isFinal && methods.removeFirstOrNull() == HttpMethod.HEAD
            return isToHead || super.isContentAlwaysEmpty(message)
        }

        override fun createMessage(initialLine: Array<String>): HttpMessage {
            val (version, status) = initialLine
            require(version in VERSIONS) { "the version '$version' is not one of $VERSIONS" }
            require(STATUS.matches(status)) { "the status '$status' is not a number of three digits from 100 to 599" }
            return super.createMessage(initialLine)
        }

        override fun splitHeaderName(
            sb: ByteArray,
            start: Int,
            length: Int,
        ): AsciiString {
            require(sb[start + length] == COLON) { "a header name is followed by the byte ${sb[start + length]} instead of a colon" }
            return super.splitHeaderName(sb, start, length)
        }
    }

    private inner class Encoder : HttpRequestEncoder() {
        override fun write(
            ctx: ChannelHandlerContext,
            message: Any,
            promise: ChannelPromise,
        ) {
            if (message is HttpRequest) methods.addLast(message.method())
            super.write(ctx, message, promise)
        }
    }

    private companion object {
        const val COLON = ':'.code.toByte()
        val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")
        val STATUS = Regex("[1-5][0-9][0-9]")
    }
}
