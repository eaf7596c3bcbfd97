package io.monsoonpath.soak

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

/** What a proxy does with the bytes of its connections. */
enum class ProxyMode {
    FORWARD,

    /** Each chunk of bytes is held for [Proxy.DELAY_MS]. */
    DELAY,

    /** Bytes to the server are dropped, answers pass. */
    DROP_REQUESTS,

    /** Bytes from the server are dropped, requests pass. */
    DROP_RESPONSES,

    /** Nothing passes, and connections stay open. */
    DROP_ALL,
}

/** A loopback proxy before one server. */
class Proxy(
    private val targetPort: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val openSockets = CopyOnWriteArrayList<Socket>()

    @Volatile
    var mode = ProxyMode.FORWARD

    /** The port of the listener. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true, name = "proxy") {
            while (!listener.isClosed) {
                val client = acceptOrNull() ?: break
                thread(isDaemon = true) { relay(client) }
            }
        }
    }

    /** Resets every open connection. */
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
            // A server that is gone refuses: its client sees the same.
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
            // Either side has ended; the other is closed below.
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

    /** Sizes and times. */
    companion object {
        /** Slow, and well under every time-out. */
        const val DELAY_MS = 60L
        private const val BACKLOG = 128
        private const val CHUNK_BYTES = 16 * 1024
        private const val NS_PER_MS = 1_000_000L
    }
}
