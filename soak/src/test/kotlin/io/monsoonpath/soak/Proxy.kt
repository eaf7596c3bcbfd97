package io.monsoonpath.soak

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/** How a [Proxy] treats the bytes that it relays. */
enum class ProxyMode {
    /** Forwards all bytes in both directions. */
    FORWARD,

    /** Forwards each chunk of bytes after a delay of [Proxy.DELAY_MS]. */
    DELAY,

    /** Drops the bytes sent to the server and forwards its responses. */
    DROP_REQUESTS,

    /** Drops the bytes sent by the server and forwards the requests. */
    DROP_RESPONSES,

    /** Drops the bytes of both directions and keeps the connections open. */
    DROP_ALL,
}

/** A TCP proxy on the loopback address that relays connections to the server at [targetPort] and can inject network faults. */
class Proxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val openSockets = CopyOnWriteArrayList<Socket>()

    @Volatile
    var mode = ProxyMode.FORWARD

    /** The port on which the proxy accepts connections. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy") {
            while (!listener.isClosed) {
                val client = acceptOrNull() ?: break
                thread(isDaemon = true) { relay(client) }
            }
        }
    }

    /** Resets every open connection, on both the client and the server side. */
    fun reset() =
        openSockets.forEach { socket ->
            runCatching { socket.setSoLinger(true, 0) }
            socket.close()
        }

    override fun close() {
        listener.close()
        reset()
    }

    private fun acceptOrNull(): Socket? =
        try {
            listener.accept()
        } catch (_: IOException) {
            null
        }

    private fun relay(client: Socket) {
        val server = Socket()
        openSockets += listOf(client, server)
        try {
            server.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort))
            thread(isDaemon = true) { relayBytes(server, client, ProxyMode.DROP_RESPONSES) }
            relayBytes(client, server, ProxyMode.DROP_REQUESTS)
        } catch (_: IOException) {
            // The server refused the connection: the client sees its connection closed.
            closeBoth(client, server)
        }
    }

    private fun relayBytes(
        from: Socket,
        to: Socket,
        dropMode: ProxyMode,
    ) {
        try {
            val bytes = ByteArray(CHUNK_BYTES)
            while (true) {
                val count = from.getInputStream().read(bytes)
                if (count < 0) break
                if (mode == ProxyMode.DELAY) LockSupport.parkNanos(DELAY_MS * NS_PER_MS)
                if (mode == dropMode || mode == ProxyMode.DROP_ALL) continue
                to.getOutputStream().write(bytes, 0, count)
            }
        } catch (_: IOException) {
            // One of the two connections has ended. Both are closed below.
        }
        closeBoth(from, to)
    }

    private fun closeBoth(
        first: Socket,
        second: Socket,
    ) {
        openSockets -= setOf(first, second)
        first.close()
        second.close()
    }

    /** The delay, the listen backlog and the buffer size. */
    companion object {
        /** The delay per chunk in milliseconds: slow, but far below every timeout. */
        const val DELAY_MS = 60L
        private const val BACKLOG = 128
        private const val CHUNK_BYTES = 16 * 1024
        private const val NS_PER_MS = 1_000_000L
    }
}
