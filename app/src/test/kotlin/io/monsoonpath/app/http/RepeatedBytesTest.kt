package io.monsoonpath.app.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.common.util.EventLoopGroups
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.monsoonpath.app.client.rejectRepeatedHeads
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.SendResult
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * A backend server that wrote the beginning of an earlier answer once more, on a connection that is kept, had its next answer read as a part
 * of that copy: an error reached the caller as a success.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RepeatedBytesTest {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val loops = EventLoopGroups.newEventLoopGroup(1, "backends")
    private val clients =
        ClientFactory
            .builder()
            .workerGroup(loops, true)
            .rejectRepeatedHeads()
            .build()
    private val sender = BackendSender(RequestMetrics(SimpleMeterRegistry()), clientFactory = clients)
    private val reused = AtomicInteger()

    @AfterAll
    fun stop() {
        clients.close()
        threads.shutdownNow()
    }

    /** An answer to the request whose id replaces [ID] in [text]; [body] is what a caller may get of it, or null for an error. */
    private class Response(
        val name: String,
        val text: String,
        val body: String? = null,
    ) {
        fun to(id: String) = text.replace(ID, id)
    }

    private enum class Place { AFTER_THE_EARLIER_ANSWER, BEFORE_THE_NEXT_ANSWER }

    private val earlier =
        listOf(
            Response("a success, the id first", head(OK, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, TYPE, lengthOf(BODY)) + BODY, BODY),
            Response("a success, the id last", head(OK, TYPE, lengthOf(BODY), ATTEMPT_LABEL, STAGE_LABEL, ID_LABEL) + BODY, BODY),
            Response("a success, the id in the middle", head(OK, ATTEMPT_LABEL, ID_LABEL, lengthOf(BODY), STAGE_LABEL) + BODY, BODY),
            Response("an error", head(ERROR, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(BODY), ID_LABEL) + BODY),
            Response("a refusal", head("HTTP/1.1 429 Too Many Requests", lengthOf(BODY)) + BODY),
        )

    private val next =
        listOf(
            Response("an error", head(ERROR, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(NEXT_BODY)) + NEXT_BODY),
            Response("an error in chunks", head(ERROR, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, CHUNKED) + chunksOf(NEXT_BODY)),
            Response("a success", head(OK, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(NEXT_BODY)) + NEXT_BODY, NEXT_BODY),
        )

    @TestFactory
    fun `a call gets its own answer or a failure`() =
        Place.entries.flatMap { place ->
            earlier.flatMap { first ->
                next.filter { first.body != null || it.body != null }.map { second ->
                    DynamicTest.dynamicTest(
                        "${first.name}, once more $place, then ${second.name}",
                    ) { verifyEachLength(place, first, second) }
                }
            }
        }

    private fun verifyEachLength(
        place: Place,
        first: Response,
        second: Response,
    ) {
        val faults = ConcurrentLinkedQueue<String>()
        runBlocking(loops.next().asCoroutineDispatcher()) {
            val lengths = 0..first.to(FIRST_ID).length
            lengths.chunked(PARALLEL_CASES).forEach { group ->
                group.map { length -> async { faultOrNull(place, first, second, length)?.let { faults += it } } }.awaitAll()
            }
        }
        val kept = if (place == Place.BEFORE_THE_NEXT_ANSWER) first.to(FIRST_ID).length + 1 else first.to(FIRST_ID).length - BODY.length
        assertTrue(reused.getAndSet(0) >= kept, "fewer than $kept second calls used a kept connection")
        assertTrue(faults.isEmpty(), faults.joinToString("\n"))
    }

    /** Returns what is wrong with the result of the second call if [length] bytes of the answer to the first are repeated, or null. */
    private suspend fun faultOrNull(
        place: Place,
        first: Response,
        second: Response,
        length: Int,
    ): String? =
        StutteringServer(place, first, second, length).use { server ->
            val scheme = if (first == earlier[0] && second == next[0]) "http" else "h1c"
            val firstResult = sender.send(callTo(server.port, REQUEST_BODY, FIRST_ID, scheme))
            repeat(YIELDS) { yield() }
            if (first.body == null) assertIs<SendResult.Failed>(firstResult) else assertEquals(first.body, firstResult.bodyOrNull())
            val result = sender.send(callTo(server.port, REQUEST_BODY, SECOND_ID, scheme))
            val copy = first.to(FIRST_ID).take(length)
            when {
                result is SendResult.Answered && result.bodyOrNull() != second.body -> "passed on ${result.bodyOrNull()} after <$copy>"
                result is SendResult.NotSent -> "counted as not sent (${result.detail}) after <$copy>"
                length == 0 && (result is SendResult.Answered) != (second.body != null) -> "$result without a copy"
                else -> null
            }
        }

    private fun SendResult.bodyOrNull() = (this as? SendResult.Answered)?.body?.decodeToString()

    /** A backend server that answers over HTTP/1 and repeats the first [length] bytes of [first]. */
    private inner class StutteringServer(
        private val place: Place,
        private val first: Response,
        private val second: Response,
        private val length: Int,
    ) : AutoCloseable {
        private val server = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
        private val connections = ConcurrentLinkedQueue<Socket>()
        val port: Int get() = server.localPort

        init {
            threads.execute {
                runCatching {
                    while (true) {
                        val connection = server.accept().also { connections += it }
                        threads.execute { runCatching { connection.use(::serve) } }
                    }
                }
            }
        }

        private fun serve(connection: Socket) {
            val input = connection.getInputStream().buffered()
            val copy = first.to(FIRST_ID).take(length)
            var wasUsed = false
            while (true) {
                val head = readHead(input)
                if (head.startsWith("PRI ")) return connection.write(head("HTTP/1.1 400 Bad Request", lengthOf(""), "Connection: close"))
                input.skipNBytes(REQUEST_BODY.length.toLong())
                val isFirst = "$REQUEST_ID_HEADER: $FIRST_ID\r\n" in head
                val answer = if (isFirst) first.to(FIRST_ID) else second.to(SECOND_ID)
                if (wasUsed) reused.incrementAndGet()
                when {
                    isFirst && place == Place.AFTER_THE_EARLIER_ANSWER -> connection.write(answer + copy)
                    wasUsed && place == Place.BEFORE_THE_NEXT_ANSWER -> connection.write(copy + answer)
                    else -> connection.write(answer)
                }
                wasUsed = true
            }
        }

        override fun close() {
            server.close()
            connections.forEach { it.close() }
        }
    }

    private companion object {
        const val PARALLEL_CASES = 32
        const val YIELDS = 8
        const val REQUEST_BODY = "{}"
        const val FIRST_ID = "r1"
        const val SECOND_ID = "r2"
        const val ID = "<id>"
        const val OK = "HTTP/1.1 200 OK"
        const val ERROR = "HTTP/1.1 500 Internal Server Error"
        const val BODY = "{\"by\":\"b\"}"
        const val NEXT_BODY = "{\"of\":\"c\"}"
        const val TYPE = "content-type: application/json"
        const val CHUNKED = "transfer-encoding: chunked"
        const val ID_LABEL = "$REQUEST_ID_HEADER: $ID"
        const val STAGE_LABEL = "$STAGE_HEADER: s"
        const val ATTEMPT_LABEL = "$ATTEMPT_HEADER: 1"

        fun lengthOf(body: String) = "content-length: ${body.length}"

        fun chunksOf(body: String) = "${body.length.toString(16)}\r\n$body\r\n0\r\n\r\n"

        fun head(vararg lines: String) = lines.joinToString("\r\n", postfix = "\r\n\r\n")

        fun readHead(input: InputStream): String {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) {
                val byte = input.read()
                check(byte >= 0) { "the connection ended after ${head.length} bytes of a head" }
                head.append(byte.toChar())
            }
            return head.toString()
        }

        fun Socket.write(text: String) = getOutputStream().write(text.toByteArray())
    }
}
