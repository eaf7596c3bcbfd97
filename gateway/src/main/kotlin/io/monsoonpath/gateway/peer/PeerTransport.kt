package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.ConnectionMonitor
import io.monsoonpath.coordination.gossip.ConnectionMonitor.Verdict
import io.monsoonpath.coordination.message.decodeCborOrNull
import io.monsoonpath.gateway.EventLoopScheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.peer.PeerConnection.Companion.LENGTH_BYTES
import io.monsoonpath.gateway.peer.PeerConnection.Companion.MAX_FRAME_BYTES
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender

/** Receives the messages of peers. */
internal interface PeerListener {
    /** Called with each [message] that was received on the connection [from]. */
    fun onMessage(
        from: PeerConnection,
        message: PeerMessage,
    )

    /** Called when the outgoing [connection] was closed. Messages sent on it may not have arrived. */
    fun onDisconnect(connection: PeerConnection)

    /** Called when the incoming [connection] was closed. Its peer sends nothing more on it and receives nothing. */
    fun onPeerClosed(connection: PeerConnection) = Unit
}

/** The connections to other instances. Must be used on the event loop only. */
internal interface PeerConnections {
    /** Adds [listener], which receives the messages of all peers and ignores those that it does not handle. */
    fun addListener(listener: PeerListener)

    /** Returns the connection to [host], or opens one if there is none. Messages are queued until it is established. */
    fun connectionTo(host: String): PeerConnection

    /** Closes the outgoing connection to [host], if there is one. */
    fun disconnect(host: String)
}

/**
 * Exchanges messages between instances as length-prefixed CBOR frames over TCP. Must be used on the event loop only.
 *
 * @param capacity what connections from peers may use
 */
internal class PeerTransport(
    private val loop: EventLoop,
    private val localAddress: Address,
    private val log: DecisionLog,
    capacity: PeerCapacity = PeerCapacity.of(Runtime.getRuntime().maxMemory()),
) : PeerConnections {
    private val intake = PeerIntake(capacity, log)
    private val listeners = ArrayList<PeerListener>()
    private val outgoingConnections = HashMap<String, PeerConnection>()
    private val incomingConnections = LinkedHashSet<PeerConnection>()

    /** The hosts whose processes return keep-alives. Those of earlier versions ignore them. */
    private val answeringHosts = HashSet<String>()

    /** Returns the hosts from which this instance waits for messages. */
    var awaitedHosts: () -> Set<String> = { emptySet() }

    /** The outgoing connections that were closed because nothing arrived on them. */
    var silentConnectionCount = 0
        private set

    override fun addListener(listener: PeerListener) {
        listeners += listener
    }

    /** Starts to accept connections from peers. */
    fun start() {
        ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
            .childHandler(
                object : ChannelInitializer<Channel>() {
                    override fun initChannel(child: Channel) {
                        val host = (child.remoteAddress() as java.net.InetSocketAddress).address.hostAddress
                        accept(child, host)
                    }
                },
            ).bind(localAddress.host, localAddress.port)
            .sync()
        EventLoopScheduler(loop, log).scheduleRepeatedly(ConnectionMonitor.ROUND_INTERVAL_MS, ::runRound)
    }

    private fun runRound() {
        val awaited = awaitedHosts()
        for (connection in outgoingConnections.values.filter { it.isActive }) {
            when (connection.monitor.startRound(isAwaited = connection.host in awaited)) {
                Verdict.NONE -> Unit
                Verdict.SEND_KEEP_ALIVE -> connection.sendKeepAlive()
                Verdict.CLOSE_UNUSED -> connection.close()
                Verdict.CLOSE_SILENT -> if (connection.host in answeringHosts) closeSilent(connection) else connection.sendKeepAlive()
            }
        }
        incomingConnections
            .filter { it.hasKeepAlive && it.monitor.startIncomingRound() == Verdict.CLOSE_UNUSED }
            .forEach { it.close() }
    }

    private fun closeSilent(connection: PeerConnection) {
        silentConnectionCount++
        log.line("peer.silent", "peer" to connection.host, "hasReceived" to connection.monitor.hasReceived)
        connection.closeSilent()
    }

    private fun accept(
        child: Channel,
        host: String,
    ) {
        val input = PeerInput(host) { child.close() }
        if (!intake.add(input)) {
            child.close()
            return
        }
        child.closeFuture().addListener { intake.remove(input) }
        child.pipeline().addLast(ReceivedBytesHandler(input))
        val connection = PeerConnection(host, child)
        initPipeline(child, connection, input)
        incomingConnections += connection
        child.closeFuture().addListener {
            incomingConnections -= connection
            listeners.forEach { it.onPeerClosed(connection) }
        }
    }

    override fun connectionTo(host: String): PeerConnection = outgoingConnections[host] ?: connect(host)

    override fun disconnect(host: String) {
        outgoingConnections[host]?.close()
    }

    private fun connect(host: String): PeerConnection {
        val channel = NioSocketChannel()
        val connection = PeerConnection(host, channel)
        outgoingConnections[host] = connection
        channel.closeFuture().addListener {
            if (outgoingConnections[host] === connection) outgoingConnections.remove(host)
            // Another version of the program may start at this host.
            if (!connection.isClosedHere) answeringHosts -= host
            listeners.forEach { it.onDisconnect(connection) }
        }
        val future =
            Bootstrap()
                .group(loop)
                .channelFactory { channel }
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARK)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) = initPipeline(channel, connection)
                    },
                ).connect(host, localAddress.port)
        future.addListener { if (future.isSuccess) connection.onConnected() }
        return connection
    }

    private fun initPipeline(
        channel: Channel,
        connection: PeerConnection,
        input: PeerInput? = null,
    ) {
        channel.pipeline().addLast(
            ActivityHandler(connection.monitor),
            LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            LengthFieldPrepender(LENGTH_BYTES),
            MessageHandler(connection, input),
        )
    }

    /** Records that bytes have arrived, also those of an incomplete message. */
    private class ActivityHandler(
        private val monitor: ConnectionMonitor,
    ) : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            msg: Any,
        ) {
            monitor.recordReceived()
            ctx.fireChannelRead(msg)
        }
    }

    /** Charges received bytes before they are collected to messages. */
    private inner class ReceivedBytesHandler(
        private val input: PeerInput,
    ) : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            msg: Any,
        ) {
            intake.receive(input, (msg as ByteBuf).readableBytes())
            if (ctx.channel().isActive) ctx.fireChannelRead(msg) else msg.release()
        }
    }

    private inner class MessageHandler(
        private val connection: PeerConnection,
        private val input: PeerInput?,
    ) : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: ByteBuf,
        ) {
            val message = decodeCborOrNull<PeerMessage>(ByteBufUtil.getBytes(msg))
            if (message == null) {
                log.line("peer.unreadable", "peer" to connection.host, "bytes" to msg.readableBytes())
                ctx.close()
                return
            }
            input?.let { intake.deliver(it, LENGTH_BYTES + msg.readableBytes()) }
            if (message == PeerMessage.KEEP_ALIVE) receiveKeepAlive() else listeners.forEach { it.onMessage(connection, message) }
        }

        private fun receiveKeepAlive() {
            connection.hasKeepAlive = true
            if (input != null) connection.sendKeepAlive() else answeringHosts += connection.host
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.failure("peer connection", cause)
            ctx.close()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 400
        val WRITE_WATER_MARK = WriteBufferWaterMark(PeerConnection.MAX_FRAME_BYTES, PeerConnection.MAX_WAITING_BYTES)
    }
}
