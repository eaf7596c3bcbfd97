package io.monsoonpath.gateway.http

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.util.AsciiString

/**
 * Decodes the responses on a connection to a server.
 *
 * @param method returns the method of the request whose response is due, or null if there is none
 */
internal class ServerResponseDecoder(
    private val method: () -> HttpMethod?,
) : HttpResponseDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    /** Whether bytes were received that are not decoded yet. After the end of a response, they belong to no request. */
    val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    /** Returns whether the body of [response] has no length and ends with the connection. */
    fun endsWithConnection(response: HttpResponse): Boolean = !isFramed(response) && !isContentAlwaysEmpty(response)

    /** Rejects status lines that Netty accepts although they are not valid, such as those with a status of `0200` or `+200`. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(version in VERSIONS) { "the version '$version' is not one of $VERSIONS" }
        require(STATUS.matches(status)) { "the status '$status' is not a number of three digits from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = method() == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)

    /** Rejects white space before a colon: Netty accepts a status line after the name of a header as such a header without a colon. */
    override fun splitHeaderName(
        sb: ByteArray,
        start: Int,
        length: Int,
    ): AsciiString {
        require(sb[start + length] == COLON) { "a header name is followed by the byte ${sb[start + length]} instead of a colon" }
        return super.splitHeaderName(sb, start, length)
    }

    private companion object {
        const val COLON = ':'.code.toByte()
        val VERSIONS = setOf("HTTP/1.0", "HTTP/1.1")
        val STATUS = Regex("[1-5][0-9][0-9]")
        const val MAX_HEADER_BYTES = 32 * 1024
        const val MAX_CHUNK_BYTES = 16 * 1024
    }
}

/** Returns whether [response] has a length or is chunked. */
internal fun isFramed(response: HttpResponse): Boolean =
    HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

/** Returns whether another status line stands within the head of [response], as after the beginning of a response that was broken off. */
internal fun isSpliced(response: HttpResponse): Boolean =
    STATUS_LINE.containsMatchIn(response.status().reasonPhrase()) || response.headers().any { STATUS_LINE.containsMatchIn(it.value) }

private val STATUS_LINE = Regex("""HTTP/1\.[01] \d{3}""")
