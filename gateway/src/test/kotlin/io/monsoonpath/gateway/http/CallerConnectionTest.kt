package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A shutdown closed connections whose callers had not read the whole response, and discarded the rest of it. */
class CallerConnectionTest {
    /** Holds all writes back, as the socket of a caller that reads slowly. */
    private class SlowSocket : ChannelOutboundHandlerAdapter() {
        val writes = ArrayList<ChannelPromise>()

        override fun write(
            ctx: ChannelHandlerContext,
            msg: Any,
            promise: ChannelPromise,
        ) {
            writes += promise
        }
    }

    private class Case(
        val name: String,
        val isKeptAlive: Boolean,
        val isFailing: Boolean,
        val respond: (ResponseWriter) -> Unit,
    )

    private val headers: HttpHeaders = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    private val whole = { writer: ResponseWriter ->
        writer.writeFull(HttpResponseStatus.OK, headers, Unpooled.wrappedBuffer(ByteArray(10)))
    }
    private val inParts = { writer: ResponseWriter ->
        writer.writeHead(HttpResponseStatus.OK, headers)
        writer.writeContent(Unpooled.wrappedBuffer(ByteArray(10)))
        writer.end()
    }

    @TestFactory
    fun `a connection is in use until the last byte of a response is written to its socket`() =
        listOf(
            Case("a whole response", isKeptAlive = true, isFailing = false, whole),
            Case("the last response of a connection", isKeptAlive = false, isFailing = false, whole),
            Case("a response in parts", isKeptAlive = true, isFailing = false, inParts),
            Case("a caller that leaves", isKeptAlive = true, isFailing = true, whole),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val handler =
                    object : RequestHandler {
                        override fun timeoutMs(head: HttpRequest): Long? = null

                        override fun handle(
                            request: CallerRequest,
                            writer: ResponseWriter,
                        ): RunningRequest {
                            case.respond(writer)
                            return RunningRequest { }
                        }
                    }
                val socket = SlowSocket()
                val log = DecisionLog(ByteArrayOutputStream())
                val connection = CallerConnection(ClockMs { 0 }, log, { CallerLimits(1_000, 1_000, 1_000, 1_000) }, handler, { false })
                val channel = EmbeddedChannel(socket, connection)
                val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
                request.headers().set("Host", "h").set("Connection", if (case.isKeptAlive) "keep-alive" else "close")
                channel.writeInbound(request)
                channel.runPendingTasks()
                assertTrue(connection.isInUse, "the response is not written yet")
                socket.writes.forEach { if (case.isFailing) it.setFailure(java.io.IOException("reset")) else it.setSuccess() }
                channel.runPendingTasks()
                assertFalse(connection.isInUse, "the response is written")
            }
        }
}
