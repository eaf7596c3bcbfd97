package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import java.net.InetSocketAddress

/**
 * Exchanges datagrams with the other instances, which all use the same port. Must be used on the event loop only.
 *
 * @param name the name of the datagrams in the log
 * @param onReceive handles a datagram from the host that is given, and returns false if it cannot be read
 */
internal class PeerDatagrams(
    private val loop: EventLoop,
    private val localAddress: Address,
    private val name: String,
    private val log: DecisionLog,
    private val onReceive: (from: String, bytes: ByteArray) -> Boolean,
) {
    private var channel: Channel? = null

    /** Binds the port. */
    fun start() {
        channel =
            Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel::class.java)
                .handler(Handler())
                .bind(localAddress.host, localAddress.port)
                .sync()
                .channel()
    }

    /** Sends each of [datagrams] to each of [hosts]. */
    fun send(
        hosts: List<String>,
        datagrams: List<ByteArray>,
    ) {
        for (host in hosts) {
            val receiver = InetSocketAddress(host, localAddress.port)
            datagrams.forEach { channel?.write(DatagramPacket(Unpooled.wrappedBuffer(it), receiver)) }
        }
        channel?.flush()
    }

    private inner class Handler : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: DatagramPacket,
        ) {
            val isRead = onReceive(msg.sender().address.hostAddress, ByteBufUtil.getBytes(msg.content()))
            if (!isRead) log.line("$name.unreadable", "from" to msg.sender())
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.failure(name, cause)
        }
    }
}
