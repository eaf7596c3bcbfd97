package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.OutputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Random histories of one connection to a server that repeats earlier responses, whole or in part, and sends other stray bytes. */
class ServerConnectionFuzzTest {
    private enum class Framing { LENGTH, CHUNKED, CLOSE }

    /** A response as its server means it. */
    private class Response(
        val status: String,
        val headers: List<String>,
        val body: String,
        val framing: Framing,
        method: HttpMethod,
        random: Random,
    ) {
        private val hasNoBody = method == HttpMethod.HEAD || status.take(CODE_CHARS) in listOf("204", "304")

        /** The body that the caller of this request receives. */
        val expectedBody = if (hasNoBody) "" else body

        /** Whether the response ends only with its connection. */
        val endsWithConnection = framing == Framing.CLOSE && !hasNoBody

        private val bodyText = bodyText(random)
        val text = textOf(headers)

        /** Returns a copy without the header at [omitted], if there is one. */
        fun copy(omitted: Int): String = textOf(headers.filterIndexed { index, _ -> index != omitted })

        private fun textOf(headers: List<String>) = "HTTP/1.1 $status\r\n" + headers.joinToString("") { "$it\r\n" } + "\r\n" + bodyText

        private fun bodyText(random: Random): String =
            when {
                hasNoBody -> ""
                framing != Framing.CHUNKED -> body
                else -> {
                    val size = random.nextInt(1, maxOf(2, body.length + 1))
                    body.chunked(size).joinToString("") { "${it.length.toString(HEX)}\r\n$it\r\n" } + "0\r\n\r\n"
                }
            }
    }

    /** Checks what an exchange delivers against the [due] response; owns and reuses as an attempt does. */
    private class Listener(
        private val due: Response,
        private val id: String,
        private val report: (String) -> Unit,
    ) : ExchangeListener {
        private val body = StringBuilder()
        private var head: HttpResponse? = null
        var isEnded = false
            private set

        override fun ownerOf(response: HttpResponse): ResponseOwner {
            val named = response.headers().get(ID)
            return when {
                named == id -> ResponseOwner.THIS_REQUEST
                named != null -> ResponseOwner.OTHER_REQUEST
                response.headers().contains(NOT_RUN) -> ResponseOwner.THIS_REQUEST
                else -> ResponseOwner.UNKNOWN
            }
        }

        override fun onHead(response: HttpResponse) {
            head = response
            val received = response.status().toString() to response.headers().map { "${it.key}: ${it.value}" }.filterNot(::isHopByHop)
            if (received != due.status to due.headers.filterNot(::isHopByHop)) report("took the head $received for that of $id")
        }

        /** The decoder removes the transfer encoding of a response that has no body. */
        private fun isHopByHop(header: String) = header.startsWith("transfer-encoding")

        override fun onContent(content: ByteBuf) {
            body.append(content.toString(Charsets.ISO_8859_1))
        }

        override fun isReusable(): Boolean = head?.headers()?.let { it.get(ID) == id && !it.contains(NOT_RUN) } == true

        override fun onEnd() {
            isEnded = true
            if (body.toString() != due.expectedBody) report("took the body \"$body\" for that of $id")
        }

        override fun onFailure(failure: ExchangeFailure) = Unit
    }

    /** One connection, from its first exchange to the last that uses it. */
    private class History(
        seed: Long,
    ) {
        private val random = Random(seed)
        private val steps = mutableListOf<String>()
        private val faults = mutableListOf<String>()
        private val earlier = mutableListOf<Response>()
        private var isKept = true
        private var hasStrayBytes = false
        private val connection =
            ServerConnection({ 0L }, LOG, StrayBytesReporter(ADDRESS, COUNTERS, LOG)) { connection, idleTimeoutMs ->
                isKept = idleTimeoutMs != 0L
                if (!isKept) connection.close()
            }
        private val channel = EmbeddedChannel(*connection.handlers().toTypedArray())

        /** The exchanges that received a complete response. */
        var completed = 0
            private set

        /** The exchanges that were started after another one on the same connection. */
        var reused = 0
            private set

        /** Returns the faults, followed by the steps that led to them. */
        fun run(): List<String> {
            var number = 0
            while (isKept && channel.isActive && number < MAX_EXCHANGES) exchange(number++)
            channel.finishAndReleaseAll()
            return if (faults.isEmpty()) emptyList() else faults + steps
        }

        private fun exchange(number: Int) {
            if (number > 0) reused++
            isKept = false
            val id = "r$number"
            val method = listOf(HttpMethod.POST, HttpMethod.POST, HttpMethod.GET, HttpMethod.HEAD).random(random)
            val due = response(id, method)
            val listener = Listener(due, id) { faults += it }
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/x", Unpooled.EMPTY_BUFFER)
            val exchange = PendingExchange(OutgoingRequest.Ready(request), listener)
            steps += "$method $id"
            connection.start(exchange)
            channel.releaseOutbound()
            answer(due)
            if (due.endsWithConnection || random.nextInt(RARELY) == 0) close()
            if (listener.isEnded) completed++ else close()
            exchange.cancel()
            if (hasStrayBytes && isKept && channel.isActive) faults += "kept a connection after stray bytes"
            if (isKept && channel.isActive && random.nextInt(RARELY) == 0) {
                deliver(stray("while idle"))
                if (channel.isActive) faults += "kept an idle connection on which bytes arrived"
            }
        }

        /** Sends the [due] response, with stray bytes in the same reads or in others. */
        private fun answer(due: Response) {
            val text = StringBuilder()
            if (random.nextInt(RARELY) == 0) text.append(INTERIM.random(random)).also { steps += "interim response" }
            while (random.nextInt(OFTEN) == 0) text.append(stray("before the response"))
            val isCut = random.nextInt(RARELY) == 0 && !due.endsWithConnection
            val sent = if (isCut) due.text.take(random.nextInt(due.text.length)) else due.text
            steps += "response: ${escaped(sent)}"
            text.append(sent)
            earlier += due
            // Bytes after a response that was cut off or has no length can't be told from its body.
            if (!isCut && !due.endsWithConnection && random.nextInt(RARELY) == 0) text.append(stray("after the response"))
            deliver(text.toString())
        }

        private fun response(
            id: String,
            method: HttpMethod,
        ): Response {
            val status = STATUSES.random(random)
            val isRefusal = status.startsWith("503") || status.startsWith("409")
            val named = if (random.nextInt(RARELY) == 0) null else id
            val body = BODIES.random(random) + "-$id"
            val framing = Framing.entries[listOf(0, 0, 1, 1, 2).random(random)]
            val framed =
                when (framing) {
                    Framing.LENGTH -> "content-length: ${body.length}"
                    Framing.CHUNKED -> "transfer-encoding: chunked"
                    Framing.CLOSE -> null
                }
            val headers =
                listOfNotNull(
                    named?.let { "$ID: $it" },
                    "not-run: 1".takeIf { isRefusal },
                    "signature: s-$id",
                    "keep-alive: timeout=5".takeIf { random.nextBoolean() },
                    framed,
                ).shuffled(random)
            return Response(status, headers, body, framing, method, random)
        }

        private fun stray(place: String): String {
            val copied = earlier.randomOrNull(random)
            val text =
                when {
                    copied == null || random.nextInt(RARELY) == 0 -> GARBAGE.random(random)
                    else -> part(copied.copy(random.nextInt(COPIED_LINES)))
                }
            // The decoder skips white space and control characters before a response.
            if (text.any { !it.isWhitespace() && !it.isISOControl() }) hasStrayBytes = true
            steps += "stray $place: ${escaped(text)}"
            return text
        }

        private fun part(text: String): String =
            when (random.nextInt(RARELY)) {
                0, 1 -> text
                2 -> text.drop(random.nextInt(text.length))
                else -> text.take(random.nextInt(1, text.length))
            }

        private fun escaped(text: String) = text.replace("\r", "\\r").replace("\n", "\\n").replace("\u0000", "\\0")

        private fun deliver(text: String) {
            var rest = text
            while (rest.isNotEmpty()) {
                val length = if (random.nextBoolean()) rest.length else random.nextInt(1, rest.length + 1)
                if (channel.isActive) channel.writeInbound(Unpooled.copiedBuffer(rest.take(length), Charsets.ISO_8859_1))
                rest = rest.drop(length)
            }
        }

        private fun close() {
            if (channel.isActive) channel.close()
        }
    }

    @Test
    fun `a complete response is that of its own request, byte for byte`() {
        val failures = LinkedHashMap<Long, List<String>>()
        var completed = 0
        var reused = 0
        for (seed in seeds()) {
            val history = History(seed)
            val faults = history.run()
            if (faults.isNotEmpty()) failures[seed] = faults
            completed += history.completed
            reused += history.reused
        }
        assertEquals(emptyMap(), failures.entries.take(SHOWN_FAILURES).associate { it.key to it.value }, "${failures.size} seeds failed")
        assertTrue(completed > 0 && reused > 0, "$completed exchanges were completed, $reused on a used connection")
    }

    private fun seeds(): LongRange {
        val (first, last) = System.getProperty(SEEDS_PROPERTY, DEFAULT_SEEDS).split('-').map { it.toLong() }
        return first..last
    }

    private companion object {
        const val SEEDS_PROPERTY = "monsoonpath.fuzz.seeds"
        const val DEFAULT_SEEDS = "1-4000"
        const val MAX_EXCHANGES = 5
        const val SHOWN_FAILURES = 8
        const val OFTEN = 3
        const val RARELY = 8
        const val CODE_CHARS = 3
        const val COPIED_LINES = 20
        const val HEX = 16
        const val ID = "id"
        const val NOT_RUN = "not-run"
        val ADDRESS = Address("127.0.0.1", 1)
        val LOG = DecisionLog(OutputStream.nullOutputStream())
        val COUNTERS =
            object : ConnectionCounters {
                override fun opened() = Unit

                override fun received(stray: StrayBytes) = Unit
            }
        val STATUSES =
            listOf(
                "200 OK",
                "200 OK",
                "500 Internal Server Error",
                "404 Not Found",
                "204 No Content",
                "304 Not Modified",
                "503 Service Unavailable",
                "409 Conflict",
            )
        val BODIES = listOf("", "a", "two words", "{\"a\":\n1}\r\n", "x".repeat(40), "data: 1\r\n\r\n", "a/1.0 b")
        val INTERIM = listOf("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")
        val GARBAGE =
            listOf(
                "garbage",
                "garbage\r\n\r\n",
                "\r\n",
                "\u0000\u0001",
                "HTTP",
                "HTTP/1.1",
                "0\r\n\r\n",
                ": x\r\n",
                " ",
                "GET / HTTP/1.1\r\n",
            )
    }
}
