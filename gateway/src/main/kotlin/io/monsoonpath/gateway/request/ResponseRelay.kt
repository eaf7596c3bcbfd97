package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.http.BudgetedBuffer
import io.monsoonpath.gateway.http.BufferBudget
import io.monsoonpath.gateway.http.EventSplitter
import io.monsoonpath.gateway.http.ResponseWriter
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/** Relays the response of a backend server to the caller. */
internal sealed interface ResponseRelay {
    /** Whether part of a response was written to the caller, so that no other response can replace it. */
    val hasStarted: Boolean

    /** Whether the response of another attempt can replace or continue what was written to the caller. */
    val canContinue: Boolean

    /** Returns whether the content received so far can be a complete response; [isFramed] tells whether the response had a length. */
    fun canBeComplete(isFramed: Boolean): Boolean

    /** Receives the head of a response, and discards what was not relayed of an earlier one. */
    fun head(response: HttpResponse)

    /** Receives a part of the body; returns false if it does not continue what the caller has received, or can't be relayed. */
    fun content(bytes: ByteBuf): Boolean

    /** Completes the response to the caller. */
    fun end()

    /** Discards what was not relayed. */
    fun discard()
}

/**
 * Returns a relay for responses to requests of [kind], whose callers have received the events of a stream up to [lastEventId], if any.
 *
 * @param budget the memory that the incomplete responses of all requests may take together
 */
internal fun responseRelay(
    kind: RouteKind,
    writer: ResponseWriter,
    budget: BufferBudget,
    lastEventId: String?,
): ResponseRelay =
    when (kind) {
        is RouteKind.Stream -> EventStreamRelay(writer, budget, lastEventId?.toLongOrNull())
        RouteKind.Idempotent, RouteKind.NonIdempotent -> BufferedRelay(writer, budget)
    }

/**
 * Buffers a response until it is complete, so that a response that is cut off can be replaced.
 *
 * A response of more than [MAX_BUFFERED_BYTES] bytes, or than [budget] allows, is relayed in parts.
 */
internal class BufferedRelay(
    private val writer: ResponseWriter,
    budget: BufferBudget,
) : ResponseRelay {
    private var response: HttpResponse? = null
    private val body = BudgetedBuffer(budget)
    override var hasStarted = false
        private set
    override val canContinue: Boolean get() = !hasStarted

    override fun canBeComplete(isFramed: Boolean) = true

    override fun head(response: HttpResponse) {
        discard()
        this.response = response
    }

    override fun content(bytes: ByteBuf): Boolean {
        body.append(bytes)
        if (body.size > MAX_BUFFERED_BYTES || !body.mayGrow) forward()
        return true
    }

    override fun end() {
        val response = checkNotNull(response) { "the response ended before its head" }
        if (hasStarted) {
            forward()
            writer.end()
        } else {
            hasStarted = true
            writer.writeFull(response.status(), endToEndHeaders(response.headers()), body.take())
        }
    }

    override fun discard() = body.clear()

    private fun forward() {
        val response = checkNotNull(response) { "the response has a body before its head" }
        if (!hasStarted) writer.writeHead(response.status(), endToEndHeaders(response.headers()))
        hasStarted = true
        writer.writeContent(body.take())
    }

    private companion object {
        const val MAX_BUFFERED_BYTES = 256 * 1024
    }
}

/**
 * Relays an event stream event by event.
 *
 * The head is sent with the first event, so that a backend server that fails earlier can be replaced. If another backend server continues
 * the stream, its head is ignored, and the stream continues with the event after the last one that the caller has received. An error
 * response is buffered, since it has no events.
 */
internal class EventStreamRelay(
    private val writer: ResponseWriter,
    private val budget: BufferBudget,
    lastEventId: Long?,
) : ResponseRelay {
    private val splitter = EventSplitter(budget)
    private var response: HttpResponse? = null
    private var error: BufferedRelay? = null
    private var hasEventsOfResponse = false
    private var hasEventsWithoutId = false
    private var hasStartedStream = false
    override val hasStarted: Boolean get() = hasStartedStream || error?.hasStarted == true
    override val canContinue: Boolean get() = !hasStarted || (hasStartedStream && !hasEventsWithoutId)

    /** The ID of the last event that the caller has received, or null if there is none. */
    var lastEventId: Long? = lastEventId
        private set

    /**
     * Returns whether at least one event was relayed and none is incomplete: a response without a length may end without an error at any
     * byte. A response that continues the stream may have no events if it has a length.
     */
    override fun canBeComplete(isFramed: Boolean) = hasStarted && (isFramed || hasEventsOfResponse) && splitter.pendingBytes == 0

    override fun head(response: HttpResponse) {
        discard()
        hasEventsOfResponse = false
        if (hasStarted) return
        this.response = response
        error =
            if (response.status().codeClass() == HttpStatusClass.SUCCESS) null else BufferedRelay(writer, budget).also { it.head(response) }
    }

    override fun content(bytes: ByteBuf): Boolean {
        error?.let { return it.content(bytes) }
        for (event in splitter.add(bytes)) {
            val last = lastEventId
            if (event.id != null && last != null) {
                if (event.id <= last) continue
                if (event.id > last + 1) return false
            }
            lastEventId = event.id ?: last
            if (event.id == null) hasEventsWithoutId = true
            hasEventsOfResponse = true
            forward(event.bytes)
        }
        return !splitter.isOverflowing
    }

    override fun end() {
        error?.let { return it.end() }
        forward(splitter.takeRemaining())
        writer.end()
    }

    override fun discard() {
        splitter.clear()
        error?.discard()
        error = null
    }

    private fun forward(bytes: ByteArray) {
        if (!hasStartedStream) {
            val response = checkNotNull(response) { "the response has events before its head" }
            writer.writeHead(response.status(), endToEndHeaders(response.headers()))
            hasStartedStream = true
        }
        if (bytes.isNotEmpty()) writer.writeContent(Unpooled.wrappedBuffer(bytes))
    }
}

/** Returns a copy of [headers] without the hop-by-hop headers, which apply to a single connection, and without the content length. */
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
