package io.monsoonpath.soak

import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketTimeoutException

/** The outcome of one request of a caller. */
sealed interface CallerResult {
    /** The caller received a complete response. [signature] is that of the worker, or null if the response is not signed. */
    data class Response(
        val status: Int,
        val body: String,
        val signature: String?,
    ) : CallerResult

    /** The caller received no complete response: the connection ended or the timeout passed, as [detail] says. */
    data class Incomplete(
        val detail: String,
    ) : CallerResult

    /** The request was not sent because no connection could be opened. */
    data object NotConnected : CallerResult
}

/** A caller with one connection, which is reused for the next request as long as the instance keeps it open. */
class Caller(
    host: String,
    port: Int,
) : AutoCloseable {
    private val address = InetSocketAddress(host, port)
    private var socket: Socket? = null

    /** Whether the connection is open and can carry the next request. */
    val isOpen: Boolean get() = socket != null

    /** Sends [request], opening a connection if none is open, and reads the response. */
    fun exchange(request: String): CallerResult {
        val connection = socket ?: connectOrNull() ?: return CallerResult.NotConnected
        socket = connection
        return try {
            connection.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
            readResponse(connection.getInputStream())
        } catch (_: SocketTimeoutException) {
            closeAsIncomplete("no bytes received within the read timeout")
        } catch (e: IOException) {
            closeAsIncomplete(e.message ?: "connection closed")
        }
    }

    private fun connectOrNull(): Socket? =
        try {
            Socket().apply {
                connect(address, CONNECT_TIMEOUT_MS)
                soTimeout = RESPONSE_TIMEOUT_MS
            }
        } catch (_: IOException) {
            null
        }

    private fun closeAsIncomplete(detail: String): CallerResult {
        close()
        return CallerResult.Incomplete(detail)
    }

    private fun readResponse(input: InputStream): CallerResult {
        val status = readLine(input).split(' ')[1].toInt()
        val headers = readHeaders(input)
        val length = headers["content-length"]?.toInt()
        val body = if (length != null) String(readExactly(input, length), Charsets.ISO_8859_1) else readChunkedBody(input)
        if (headers["connection"].equals("close", ignoreCase = true)) close()
        return CallerResult.Response(status, body, headers["monsoonpath-response-signature"])
    }

    /** Returns the headers by their names in lower case. The values of a repeated header are joined by commas. */
    private fun readHeaders(input: InputStream): Map<String, String> =
        generateSequence { readLine(input).takeIf { it.isNotEmpty() } }
            .map { parseHeader(it) }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.joinToString(", ") }

    private fun parseHeader(line: String) = line.substringBefore(':').lowercase() to line.substringAfter(':').trim()

    private fun readChunkedBody(input: InputStream): String {
        val body = StringBuilder()
        while (true) {
            val size = readLine(input).trim().toInt(HEX_RADIX)
            body.append(String(readExactly(input, size), Charsets.ISO_8859_1))
            readLine(input)
            if (size == 0) return body.toString()
        }
    }

    private fun readExactly(
        input: InputStream,
        count: Int,
    ): ByteArray = input.readNBytes(count).also { if (it.size < count) throw EOFException("connection closed within the response body") }

    private fun readLine(input: InputStream): String {
        val text = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0) throw EOFException(if (text.isEmpty()) "closed at the start of a line" else "closed within a line")
            if (byte == '\n'.code) return text.toString().trimEnd('\r')
            text.append(byte.toChar())
        }
    }

    override fun close() {
        socket?.close()
        socket = null
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 500
        const val RESPONSE_TIMEOUT_MS = 3_000
        const val HEX_RADIX = 16
    }
}
