package io.monsoonpath.app.client

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicInteger

/** Where a server writes a part of an earlier response once more. */
internal enum class Place { AFTER_THE_EARLIER_RESPONSE, BEFORE_THE_NEXT_RESPONSE }

/**
 * A server that responds over HTTP/1 with [first] to its first request and with [second] to each later one, and writes [copy], a part of
 * an earlier response, at [place] on the connection of the first request.
 */
internal class StutteringServer(
    private val threads: Executor,
    private val place: Place,
    private val first: String,
    private val second: String,
    private val copy: String,
    private val server: ServerSocket = ServerSocket(0, 8, InetAddress.getLoopbackAddress()),
) : AutoCloseable {
    private val connections = ConcurrentLinkedQueue<Socket>()
    private val exchanges = AtomicInteger()

    /** The port of the loopback address. */
    val port: Int get() = server.localPort

    /** Whether a connection carried more than one exchange. */
    @Volatile
    var wasReused = false
        private set

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
        var wasUsed = false
        while (true) {
            val head = readHead(input)
            if (head.startsWith(
                    "PRI ",
                )
            ) {
                return connection.write(responseHead("HTTP/1.1 400 Bad Request", lengthOf(""), "connection: close"))
            }
            input.skipNBytes(
                CONTENT_LENGTH
                    .find(head)
                    ?.groupValues
                    ?.get(1)
                    ?.toLong() ?: 0,
            )
            val isFirst = exchanges.getAndIncrement() == 0
            wasReused = wasReused || wasUsed
            when {
                isFirst && place == Place.AFTER_THE_EARLIER_RESPONSE -> connection.write(first + copy)
                isFirst -> connection.write(first)
                wasUsed && place == Place.BEFORE_THE_NEXT_RESPONSE -> connection.write(copy + second)
                else -> connection.write(second)
            }
            wasUsed = true
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private companion object {
        val CONTENT_LENGTH = Regex("content-length: ?([0-9]+)", RegexOption.IGNORE_CASE)

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

/** Returns the head of a response with [lines], the first of which is the status line. */
internal fun responseHead(vararg lines: String): String = lines.joinToString("\r\n", postfix = "\r\n\r\n")

/** Returns the header with the length of [body]. */
internal fun lengthOf(body: String): String = "content-length: ${body.length}"

/** Returns [parts] as a body in chunks. */
internal fun chunksOf(vararg parts: String): String = (parts.toList() + "").joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" }
