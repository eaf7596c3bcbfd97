package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder

/** Handles complete requests of callers. */
interface RequestHandler {
    /** Returns how long the caller waits for the response to a request with [head], in milliseconds, or null if that is not known. */
    fun timeoutMs(head: HttpRequest): Long?

    /** Returns the refusal of a request that can be decided by its [head], which was received at [receivedAtMs], or null. */
    fun refusalOf(
        head: HttpRequest,
        receivedAtMs: Long,
    ): HeadRefusal? = null

    /** Starts serving [request], whose response goes to [writer]; the returned object is notified if the caller disconnects. */
    fun handle(
        request: CallerRequest,
        writer: ResponseWriter,
    ): RunningRequest
}

/** The refusal of a request whose body need not be kept. */
fun interface HeadRefusal {
    /** Writes the response to [writer]. */
    fun write(writer: ResponseWriter)
}

/** Represents a request that is being served. */
fun interface RunningRequest {
    /** Called when the caller has closed its connection. */
    fun onCallerDisconnected()

    /** Called repeatedly during a shutdown, the last time with [isEnding], after which the process ends. */
    fun onShutdown(isEnding: Boolean) = Unit
}

/**
 * Listens for callers on [address].
 *
 * @param limits returns the limits in force, or null before the first configuration
 * @param budget the memory and connections that all callers may use
 */
class CallerServer(
    private val loop: EventLoop,
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val address: Address,
    private val limits: () -> CallerLimits?,
    private val handler: RequestHandler,
    private val budget: CallerBudget = CallerBudget(CallerCapacity.of(Runtime.getRuntime().maxMemory(), 0, 0), clock, log),
) {
    private val connections = HashSet<CallerConnection>()
    private var channel: Channel? = null

    /** Whether connections are closed after their current response. */
    var isDraining = false
        private set

    /** The number of open connections. */
    val connectionCount: Int get() = connections.size

    /** Whether a request is being read or served, or a response is being written. */
    val isBusy: Boolean get() = connections.any { it.isInUse }

    /** Starts listening. */
    fun start() {
        val bootstrap =
            ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                // Reads until the socket is empty, so that a disconnect that has already arrived is seen before the request is sent.
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS),
                ).childHandler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(child: Channel) = accept(child)
                    },
                )
        channel = bootstrap.bind(address.host, address.port).sync().channel()
    }

    /** From now on, closes connections after their responses; idle connections stay open for a request that may already be in flight. */
    fun startDraining() {
        isDraining = true
    }

    /** Notifies the requests that are being served of the shutdown; with [isEnding], the process ends right after it. */
    fun notifyShutdown(isEnding: Boolean) = connections.toList().forEach { it.notifyShutdown(isEnding) }

    /** Closes connections without a current request or response. */
    fun closeIdle() = connections.filterNot { it.isInUse }.forEach { it.close() }

    /** Stops listening. */
    fun close() {
        channel?.close()
    }

    private fun accept(child: Channel) {
        val limits = limits() ?: DEFAULT_LIMITS
        val config =
            HttpDecoderConfig()
                .setMaxInitialLineLength(limits.maxHeaderBytes)
                .setMaxHeaderSize(limits.maxHeaderBytes)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
        val connection = CallerConnection(clock, log, this::currentLimits, handler, ::isDraining, budget)
        if (!budget.add(connection)) {
            child.close()
            return
        }
        connections.add(connection)
        child.closeFuture().addListener {
            connections.remove(connection)
            budget.remove(connection)
        }
        child.pipeline().addLast(connection.firstByteHandler(), connection.decoder(config), HttpResponseEncoder(), connection)
    }

    private fun currentLimits() = limits() ?: DEFAULT_LIMITS

    private companion object {
        const val BACKLOG = 1_024
        const val MAX_CHUNK_BYTES = 16 * 1024

        /** The number of reads after which other connections have their turn. */
        const val MAX_READS = 16

        /** Used until the first configuration, while all requests are refused. */
        val DEFAULT_LIMITS =
            CallerLimits(maxHeaderBytes = 16 * 1024, maxBodyBytes = 1 shl 20, headerTimeoutMs = 5_000, idleTimeoutMs = 10_000)
    }
}
