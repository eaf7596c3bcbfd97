package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.ConnectTimeoutException
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import jdk.net.ExtendedSocketOptions
import java.net.ConnectException
import java.net.InetSocketAddress

/** Counts connections to servers. */
interface ConnectionCounters {
    /** Counts a connection that is being opened. */
    fun opened()

    /** Counts an occurrence of stray bytes. */
    fun received(stray: StrayBytes)
}

/** The result of opening a connection to a server only to find out whether it runs. */
enum class ProbeResult {
    /** The server accepted the connection. */
    CONNECTED,

    /** Nothing listens at the address: the process of the server has ended. */
    REFUSED,

    /** The connection could not be opened for another reason, such as a partition. */
    NO_RESPONSE,
}

/** The limits for the connections of this instance to one server. */
data class ConnectionPoolLimits(
    /** The maximum number of simultaneous connections. */
    val maxConnections: Int,
    val connectTimeoutMs: Int = DEFAULT_CONNECT_TIMEOUT_MS,
    /** How long an idle connection is kept if the server announces no idle timeout, in milliseconds. */
    val defaultIdleTimeoutMs: Long = DEFAULT_IDLE_TIMEOUT_MS,
) {
    private companion object {
        /** Allows for several round trips between failure domains, and leaves enough of the caller's waiting time for a second attempt. */
        const val DEFAULT_CONNECT_TIMEOUT_MS = 400

        /** Below one second, the shortest timeout that a server can announce in whole seconds. */
        const val DEFAULT_IDLE_TIMEOUT_MS = 900L
    }
}

/**
 * The pool of the connections of this instance to one server. Each connection carries one exchange at a time and is then reused.
 *
 * Must be used on the event loop only.
 */
class ServerConnectionPool(
    private val loop: EventLoop,
    private val clock: ClockMs,
    val address: Address,
    private var limits: ConnectionPoolLimits,
    private val counters: ConnectionCounters,
    private val log: DecisionLog,
) {
    private val idleConnections = ArrayDeque<ServerConnection>()
    private val strayBytes = StrayBytesReporter(address, counters, log)
    private var openCount = 0
    private val establishedConnections = HashSet<ServerConnection>()
    private var isClosed = false

    /** Whether a connection to the server is open. */
    val isConnected: Boolean get() = establishedConnections.any { it.isOpen }

    /** Changes the limits for new connections. */
    fun setLimits(next: ConnectionPoolLimits) {
        limits = next
    }

    /** Sends [request] and returns the exchange; takes ownership of [request]. */
    fun send(
        request: FullHttpRequest,
        listener: ExchangeListener,
    ): Exchange = send(OutgoingRequest.Ready(request), listener)

    /**
     * Sends [request] and returns the exchange.
     *
     * The request is written in a later task of the event loop, so that events that have already arrived can still cancel it: on a busy
     * machine, its caller may have left long before.
     *
     * @param maxIdleMs the maximum time in milliseconds that a connection may have been idle to be reused
     */
    fun send(
        request: OutgoingRequest,
        listener: ExchangeListener,
        maxIdleMs: Long = Long.MAX_VALUE,
    ): Exchange {
        val exchange = PendingExchange(request, listener)
        loop.execute { if (!exchange.isDone) findConnection(exchange, maxIdleMs) }
        return exchange
    }

    private fun findConnection(
        exchange: PendingExchange,
        maxIdleMs: Long,
    ) {
        val idleConnection = takeIdle(maxIdleMs)
        when {
            idleConnection != null -> start(exchange, idleConnection)
            openCount >= limits.maxConnections -> exchange.fail(ExchangeFailure.NO_CONNECTION_FREE)
            else -> connect(exchange)
        }
    }

    private fun start(
        exchange: PendingExchange,
        connection: ServerConnection,
    ) {
        if (!exchange.isDone && connection.start(exchange)) return
        release(connection, limits.defaultIdleTimeoutMs)
        exchange.fail(ExchangeFailure.EXPIRED)
    }

    /** Closes idle connections that the server may soon close. */
    fun closeExpired() {
        val nowMs = clock.nowMs()
        idleConnections.filter { it.expiresAtMs <= nowMs }.forEach {
            idleConnections.remove(it)
            it.close()
        }
    }

    /** Closes the idle connections now and the others after their exchanges. */
    fun close() {
        isClosed = true
        closeIdle()
    }

    /** Closes all idle connections, for example after a pause of the process. */
    fun closeIdle() {
        // Each connection removes itself from the deque when it closes, so a copy is iterated.
        val closing = idleConnections.toList()
        idleConnections.clear()
        closing.forEach { it.close() }
    }

    private fun takeIdle(maxIdleMs: Long): ServerConnection? {
        val nowMs = clock.nowMs()
        while (true) {
            val last = idleConnections.removeLastOrNull() ?: return null
            if (last.isOpen && last.expiresAtMs > nowMs && nowMs - last.idleSinceMs <= maxIdleMs) return last
            last.close()
        }
    }

    /**
     * Opens a connection to find out whether the server accepts connections, and calls [onResult] with the result. The connection is kept
     * for the next exchange.
     */
    fun probe(onResult: (ProbeResult) -> Unit) =
        open { future, connection ->
            if (future.isSuccess) release(connection, limits.defaultIdleTimeoutMs)
            onResult(
                when {
                    future.isSuccess -> ProbeResult.CONNECTED
                    future.cause() is ConnectException && future.cause() !is ConnectTimeoutException -> ProbeResult.REFUSED
                    else -> ProbeResult.NO_RESPONSE
                },
            )
        }

    private fun connect(exchange: PendingExchange) = open { future, connection -> onConnected(future, connection, exchange) }

    private fun open(onDone: (ChannelFuture, ServerConnection) -> Unit) {
        openCount++
        counters.opened()
        val connection = ServerConnection(clock, log, strayBytes, ::release)
        val future = bootstrap(connection).connect(InetSocketAddress(address.host, address.port))
        future.channel().closeFuture().addListener {
            openCount--
            idleConnections.remove(connection)
            establishedConnections.remove(connection)
        }
        future.addListener { _ ->
            if (future.isSuccess) establishedConnections += connection
            onDone(future, connection)
        }
    }

    private fun onConnected(
        future: ChannelFuture,
        connection: ServerConnection,
        exchange: PendingExchange,
    ) {
        if (future.isSuccess) {
            loop.execute { start(exchange, connection) }
        } else {
            exchange.fail(ExchangeFailure.NOT_CONNECTED)
        }
    }

    private fun bootstrap(connection: ServerConnection) =
        Bootstrap()
            .group(loop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), TCP_KEEPALIVE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), TCP_KEEPALIVE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), TCP_KEEPALIVE_PROBES)
            .handler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(channel: Channel) {
                        connection.handlers().forEach { channel.pipeline().addLast(it) }
                    }
                },
            )

    private fun release(
        connection: ServerConnection,
        idleTimeoutMs: Long?,
    ) {
        val keepForMs = idleTimeoutMs ?: limits.defaultIdleTimeoutMs
        if (isClosed || keepForMs <= 0 || !connection.isOpen) {
            connection.close()
            return
        }
        connection.markIdle(keepForMs)
        idleConnections.addLast(connection)
    }

    private companion object {
        /** The shortest that the operating system accepts; with the probes below, a dead connection is detected within three seconds. */
        const val TCP_KEEPALIVE_S = 1

        /** Without a limit, the system buffers whole requests of megabytes, and their write succeeds although no server reads them. */
        const val SEND_BUFFER_BYTES = 128 * 1024
        const val TCP_KEEPALIVE_PROBES = 2
    }
}
