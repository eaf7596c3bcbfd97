package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.Ticker
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.util.concurrent.TimeUnit
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** How long one caller can hold a connection, and how much it can send ahead. Time is virtual. */
class CallerLimitsTest {
    /** A connection with a handler that answers at once if [isAnswering], and else only when [answerNext] is called. */
    private class Connection(
        private val callerTimeoutMs: Long?,
        private val isAnswering: Boolean,
    ) : RequestHandler {
        private val ticker = Ticker.newMockTicker()
        private val waiting = ArrayDeque<ResponseWriter>()
        private val connection =
            CallerConnection(
                ClockMs { TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime()) },
                DecisionLog(ByteArrayOutputStream()),
                { CallerLimits(MAX_BYTES, MAX_BYTES, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS) },
                this,
                { false },
            )
        private val channel =
            EmbeddedChannel
                .builder()
                .ticker(ticker)
                .handlers(connection.firstByteHandler(), HttpRequestDecoder(), HttpResponseEncoder(), connection)
                .build()
        val isOpen: Boolean get() = channel.isOpen
        val isReading: Boolean get() = channel.config().isAutoRead
        val output: String get() =
            generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") {
                it.toString(Charsets.ISO_8859_1).also { _ -> it.release() }
            }
        var servedCount = 0
            private set

        override fun timeoutMs(head: HttpRequest): Long? = callerTimeoutMs

        override fun handle(
            request: CallerRequest,
            writer: ResponseWriter,
        ): RunningRequest {
            servedCount++
            waiting += writer
            if (isAnswering) answerNext()
            return RunningRequest { }
        }

        fun answerNext() {
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            waiting.removeFirst().writeFull(HttpResponseStatus.OK, headers, Unpooled.EMPTY_BUFFER)
            channel.runPendingTasks()
        }

        fun receive(text: String) {
            channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
            channel.runPendingTasks()
        }

        fun advanceBy(ms: Long) {
            ticker.advance(ms, TimeUnit.MILLISECONDS)
            channel.runScheduledPendingTasks()
            channel.runPendingTasks()
        }
    }

    private class TimeCase(
        val name: String,
        /** The text that arrives first. */
        val first: String,
        /** The text that arrives every [intervalMs] after that. */
        val then: String,
        /** The number of milliseconds after which the connection is closed. */
        val endMs: Long,
        /** The status code of the last response, or null if there is none. */
        val status: Int?,
        val intervalMs: Long = 500,
        val callerTimeoutMs: Long? = null,
    )

    @TestFactory
    fun `a connection is closed when its caller is too slow`() =
        listOf(
            TimeCase("nothing arrives", "", "", IDLE_TIMEOUT_MS, status = null),
            TimeCase("nothing arrives after a response", REQUEST, "", IDLE_TIMEOUT_MS, status = 200),
            TimeCase("a head stalls", "G", "", HEADER_TIMEOUT_MS, status = 408),
            TimeCase("a head goes on and on", "GET /", "x", HEADER_TIMEOUT_MS, status = 408),
            TimeCase("a head has ever more headers", "GET / HTTP/1.1\r\n", "x: y\r\n", HEADER_TIMEOUT_MS, status = 408),
            TimeCase("empty lines precede a head", "\r\n", "\r\n", HEADER_TIMEOUT_MS, status = 408),
            TimeCase("a body does not begin", BODY_HEAD, "", IDLE_TIMEOUT_MS, status = 408),
            TimeCase("a body stalls", BODY_HEAD + "x", "", IDLE_TIMEOUT_MS, status = 408),
            TimeCase("a body is longer on its way than its caller waits", BODY_HEAD, "x", 6_000, status = 408, callerTimeoutMs = 6_000),
            TimeCase("a body whose caller does not say how long it waits", BODY_HEAD, "x", MAX_BODY_TIME_MS, 408, intervalMs = 3_000),
            TimeCase(
                "a body whose caller waits for ever",
                BODY_HEAD,
                "x",
                MAX_BODY_TIME_MS,
                status = 408,
                intervalMs = 3_000,
                callerTimeoutMs = Long.MAX_VALUE,
            ),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val connection = Connection(case.callerTimeoutMs, isAnswering = true)
                if (case.first.isNotEmpty()) connection.receive(case.first)
                var nowMs = 0L
                while (connection.isOpen && nowMs < 2 * MAX_BODY_TIME_MS) {
                    connection.advanceBy(STEP_MS)
                    nowMs += STEP_MS
                    if (connection.isOpen && nowMs % case.intervalMs == 0L && case.then.isNotEmpty()) connection.receive(case.then)
                }
                assertEquals(case.endMs, nowMs)
                val statuses = Regex("HTTP/1.1 (\\d+)").findAll(connection.output).map { it.groupValues[1].toInt() }
                assertEquals(listOfNotNull(case.status), statuses.toList())
            }
        }

    private class AheadCase(
        val name: String,
        val text: String,
        val count: Int,
    )

    @TestFactory
    fun `a caller that sends requests ahead is not read until they are served`() =
        listOf(
            AheadCase("requests without a body", REQUEST, 16),
            AheadCase("requests with a body", BODY_HEAD + "x".repeat(BODY_BYTES), 16),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val connection = Connection(callerTimeoutMs = null, isAnswering = false)
                connection.receive(case.text)
                var aheadCount = 0
                while (connection.isReading && aheadCount < 2 * case.count) {
                    connection.receive(case.text)
                    aheadCount++
                }
                assertEquals(case.count, aheadCount)
                assertEquals(1, connection.servedCount)
                repeat(case.count) { connection.answerNext() }
                assertEquals(1 + case.count, connection.servedCount)
                assertTrue(connection.isReading)
            }
        }

    private companion object {
        const val MAX_BYTES = 100_000
        const val HEADER_TIMEOUT_MS = 2_000L
        const val IDLE_TIMEOUT_MS = 4_000L
        const val STEP_MS = 100L
        const val BODY_BYTES = 1_000

        /** The longest time in which any body may arrive. */
        const val MAX_BODY_TIME_MS = 600_000L
        const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        const val BODY_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: $BODY_BYTES\r\n\r\n"
    }
}
