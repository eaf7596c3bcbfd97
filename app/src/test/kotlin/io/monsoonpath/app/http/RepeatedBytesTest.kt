package io.monsoonpath.app.http

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.monsoonpath.app.client.GuardedClients
import io.monsoonpath.app.client.Place
import io.monsoonpath.app.client.StutteringServer
import io.monsoonpath.app.client.chunksOf
import io.monsoonpath.app.client.lengthOf
import io.monsoonpath.app.client.responseHead
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.SendResult
import io.monsoonpath.app.request.StageCall
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * A backend server that wrote the beginning of an earlier answer once more, on a connection that is kept, had its next answer read as a part
 * of that copy: an error reached the caller as a success.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RepeatedBytesTest {
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    private val clients = GuardedClients("backends")
    private val sender = BackendSender(RequestMetrics(SimpleMeterRegistry()), clientFactory = clients.factory)

    @AfterAll
    fun stop() {
        clients.close()
        threads.shutdownNow()
    }

    /**
     * An answer to the request whose id replaces [ID] in [text]; [body] is what a caller may get of it, or null for an error.
     *
     * @property repeated the answer of which a part is written once more
     * @property isMalformed whether the connection must not be kept
     */
    private class Response(
        val name: String,
        val text: String,
        val body: String? = null,
        private val repeated: String = text,
        val isMalformed: Boolean = false,
    ) {
        val copyable = repeated.replace(ID, FIRST_ID)

        /** The length of a copy that must not end the connection: its head, or if this is malformed, the status line and the next line. */
        val keptLength = if (repeated == text) copyable.indexOf("\r\n\r\n") else copyable.indexOf("\r\n", OK.length + 2)

        fun to(id: String) = text.replace(ID, id)
    }

    private val earlier =
        listOf(
            Response("a success, the id first", responseHead(OK, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, TYPE, lengthOf(BODY)) + BODY, BODY),
            Response("a success, the id last", responseHead(OK, TYPE, lengthOf(BODY), ATTEMPT_LABEL, STAGE_LABEL, ID_LABEL) + BODY, BODY),
            Response(
                "a success, the id in the middle",
                responseHead(OK, ATTEMPT_LABEL, ID_LABEL, lengthOf(BODY), STAGE_LABEL) + BODY,
                BODY,
            ),
            Response("an error", responseHead(ERROR, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(BODY), ID_LABEL) + BODY),
            Response("a refusal", responseHead("HTTP/1.1 429 Too Many Requests", lengthOf(BODY)) + BODY),
            Response("a success, a header without a value", success("via:", "age: "), BODY),
            Response("a success, a space before a colon in the copy", success(), BODY, repeated = success("via : v")),
            Response("a success, a tab before a colon in the copy", success(), BODY, repeated = success("via\t: v")),
            Response("a success, a line without a colon in the copy", success(), BODY, repeated = success("via v")),
        )

    private val malformed =
        listOf("via : v", "via\t: v", "via v", "via", " : v").map { line ->
            Response("a success with the line <$line>", success(line), isMalformed = true)
        }

    private val next =
        listOf(
            Response("an error", responseHead(ERROR, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(NEXT_BODY)) + NEXT_BODY),
            Response(
                "an error whose reason has a colon",
                responseHead("$ERROR: c", ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(NEXT_BODY)) + NEXT_BODY,
            ),
            Response("an error in chunks", responseHead(ERROR, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, CHUNKED) + chunksOf(NEXT_BODY)),
            Response("a success", responseHead(OK, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(NEXT_BODY)) + NEXT_BODY, NEXT_BODY),
        )

    private val earlierStream =
        Response("a stream", responseHead(OK, STREAM, CHUNKED, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL) + chunksOf(event("a"), END), "a")

    private val nextAfterStream =
        listOf(
            Response(
                "an error like a stream",
                responseHead(ERROR, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, CHUNKED) + chunksOf(event("b"), END),
            ),
            Response("a stream", responseHead(OK, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, CHUNKED) + chunksOf(event("b"), END), "b"),
        )

    @TestFactory
    fun `a call gets its own answer or a failure`() =
        Place.entries.flatMap { place ->
            (earlier + malformed).flatMap { first ->
                next.filter { first.body != null || first.isMalformed || it.body != null }.map { second ->
                    DynamicTest.dynamicTest("${first.name}, once more $place, then ${second.name}") {
                        verifyEachLength(place, first, second) { sender.answerTo(it) }
                    }
                }
            }
        }

    @TestFactory
    fun `a call gets its own stream or a failure`() =
        Place.entries.flatMap { place ->
            nextAfterStream.map { second ->
                DynamicTest.dynamicTest("a stream, once more $place, then ${second.name}") {
                    verifyEachLength(place, earlierStream, second) { sender.streamOf(it) }
                }
            }
        }

    /** Verifies the second call for each length of a copy of [first]; where the copy ends in a head, the call uses a kept connection. */
    private fun verifyEachLength(
        place: Place,
        first: Response,
        second: Response,
        send: suspend (StageCall) -> Received,
    ) {
        val faults = ConcurrentLinkedQueue<String>()
        val reused = AtomicInteger()
        runBlocking(clients.dispatcher) {
            val lengths = 0..first.copyable.length
            lengths.chunked(PARALLEL_CASES).forEach { group ->
                group
                    .map { length ->
                        async {
                            val copy = first.copyable.take(length)
                            StutteringServer(threads, place, first.to(FIRST_ID), second.to(SECOND_ID), copy).use { server ->
                                faultOrNull(server.port, first, second, length, send)?.let { faults += it }
                                if (server.wasReused) reused.incrementAndGet()
                            }
                        }
                    }.awaitAll()
            }
        }
        if (first.isMalformed) {
            assertEquals(0, reused.get(), "second calls on a connection with a malformed response")
        } else {
            assertTrue(reused.get() >= first.keptLength, "$reused second calls used a kept connection, fewer than ${first.keptLength}")
        }
        assertTrue(faults.isEmpty(), faults.joinToString("\n"))
    }

    /** Returns what is wrong with the results of the two calls if [length] bytes of the answer to the first are repeated, or null. */
    private suspend fun faultOrNull(
        port: Int,
        first: Response,
        second: Response,
        length: Int,
        send: suspend (StageCall) -> Received,
    ): String? {
        val scheme = if (first == earlier[0] && second == next[0]) "http" else "h1c"
        val before = send(callTo(port, REQUEST_BODY, FIRST_ID, scheme))
        repeat(YIELDS) { yield() }
        val received = send(callTo(port, REQUEST_BODY, SECOND_ID, scheme))
        val copy = first.copyable.take(length)
        return when {
            before.isWhole != (first.body != null) -> "${before.result} to the first call"
            received.isWhole && received.text != second.body -> "passed on ${received.text} after <$copy>"
            !second.body.orEmpty().startsWith(received.text) -> "passed on ${received.text} of a failure after <$copy>"
            received.result is SendResult.NotSent -> "counted as not sent after <$copy>"
            (length == 0 || first.isMalformed) && received.isWhole != (second.body != null) -> "${received.result} without a copy"
            else -> null
        }
    }

    /** What a caller would get: [text], which is complete if the call succeeded. */
    private class Received(
        val result: SendResult,
        val text: String,
    ) {
        val isWhole get() = result is SendResult.Answered || result is SendResult.StreamEnded
    }

    private suspend fun BackendSender.answerTo(call: StageCall): Received {
        val result = send(call)
        return Received(result, (result as? SendResult.Answered)?.body?.decodeToString().orEmpty())
    }

    private suspend fun BackendSender.streamOf(call: StageCall): Received {
        val text = StringBuilder()
        val result = stream(call) { token -> text.append(token.text).let { true } }
        return Received(result, text.toString())
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
        const val STREAM = "content-type: text/event-stream"
        const val END = "data: {\"count\":1}\n\n"
        const val CHUNKED = "transfer-encoding: chunked"
        const val ID_LABEL = "$REQUEST_ID_HEADER: $ID"
        const val STAGE_LABEL = "$STAGE_HEADER: s"
        const val ATTEMPT_LABEL = "$ATTEMPT_HEADER: 1"

        /** Returns a success with [lines] before the other headers. */
        fun success(vararg lines: String) = responseHead(OK, *lines, ID_LABEL, STAGE_LABEL, ATTEMPT_LABEL, lengthOf(BODY)) + BODY

        fun event(text: String) = "data: {\"index\":0,\"text\":\"$text\"}\n\n"
    }
}
