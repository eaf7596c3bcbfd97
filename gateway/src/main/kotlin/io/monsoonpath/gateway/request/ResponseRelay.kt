package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.http.EventSplitter
import io.monsoonpath.gateway.http.ResponseWriter
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Passes a backend server's answer on to the caller. */
internal sealed interface ResponseRelay {
    /** Whether the caller has got any byte, so that no other answer can take its place. */
    val hasStarted: Boolean

    /** Whether what has come can be a whole answer, as far as its content tells. */
    val canBeComplete: Boolean

    /** Takes the head of an answer. */
    fun head(response: HttpResponse)

    /** Takes a part of the body; returns false if it does not continue what the caller has. */
    fun content(bytes: ByteBuf): Boolean

    /** The backend server's answer is complete. */
    fun end()

    /** Drops what was not passed on. */
    fun discard()
}

/** Keeps an answer until it is complete, so that one that breaks off can be replaced; a large one is passed on in parts. */
internal class BufferedRelay(
    private val writer: ResponseWriter,
) : ResponseRelay {
    private var response: HttpResponse? = null
    private var body = Unpooled.buffer()
    override val canBeComplete = true
    override var hasStarted = false
        private set

    override fun head(response: HttpResponse) {
        this.response = response
    }

    override fun content(bytes: ByteBuf): Boolean {
        body.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes())
        if (body.readableBytes() > MAX_BUFFERED_BYTES) forward()
        return true
    }

    override fun end() {
        val response = checkNotNull(response) { "an answer without a head ended" }
        if (hasStarted) {
            forward()
            writer.end()
        } else {
            hasStarted = true
            writer.writeFull(response.status(), endToEndHeaders(response.headers()), body)
        }
    }

    override fun discard() {
        body.clear()
    }

    private fun forward() {
        val response = checkNotNull(response) { "an answer without a head has a body" }
        if (!hasStarted) writer.writeHead(response.status(), endToEndHeaders(response.headers()))
        hasStarted = true
        writer.writeContent(body)
        body = Unpooled.buffer()
    }

    private companion object {
        const val MAX_BUFFERED_BYTES = 256 * 1024
    }
}

/**
 * Passes an event stream on event by event.
 *
 * The head waits for the first event, so that a backend server that breaks off before it can be replaced. After another one took over,
 * the stream keeps the first head and goes on with the event after the last that the caller has.
 */
internal class EventStreamRelay(
    private val writer: ResponseWriter,
    lastEventId: Long?,
) : ResponseRelay {
    private val splitter = EventSplitter()
    private var response: HttpResponse? = null

    /** An answer without a length may end in order and yet within an event, or before the first. */
    override val canBeComplete: Boolean get() = hasStarted && splitter.pendingBytes == 0
    override var hasStarted = false
        private set

    /** The number of the last event that the caller has, or null before the first. */
    var lastEventId: Long? = lastEventId
        private set

    override fun head(response: HttpResponse) {
        splitter.clear()
        if (!hasStarted) this.response = response
    }

    override fun content(bytes: ByteBuf): Boolean {
        for (event in splitter.add(bytes)) {
            val last = lastEventId
            if (event.id != null && last != null) {
                if (event.id <= last) continue
                if (event.id > last + 1) return false
            }
            lastEventId = event.id ?: last
            forward(event.bytes)
        }
        return true
    }

    override fun end() {
        forward(splitter.takeRemaining())
        writer.end()
    }

    override fun discard() = splitter.clear()

    private fun forward(bytes: ByteArray) {
        if (!hasStarted) {
            val response = checkNotNull(response) { "an answer without a head has events" }
            writer.writeHead(response.status(), endToEndHeaders(response.headers()))
            hasStarted = true
        }
        if (bytes.isNotEmpty()) writer.writeContent(Unpooled.wrappedBuffer(bytes))
    }
}

/** Returns [headers] without those that concern one connection alone. */
fun endToEndHeaders(headers: HttpHeaders): HttpHeaders {
    val endToEnd = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
    endToEnd.add(headers)
    val connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
    (HOP_BY_HOP_HEADERS + connectionOptions).filter { it.isNotEmpty() }.forEach { endToEnd.remove(it) }
    return endToEnd
}

private val HOP_BY_HOP_HEADERS =
    listOf(
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
