package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.ConnectionMonitor
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray

/** A connection to another instance. Messages are queued until the connection is established. */
internal class PeerConnection(
    val host: String,
    private val channel: Channel,
) {
    private val queuedFrames = ArrayDeque<ByteBuf>()

    /** Decides when a keep-alive is sent, and whether the connection still works. */
    val monitor = ConnectionMonitor()

    /** Whether a keep-alive has arrived on this connection. */
    var hasKeepAlive = false
        internal set

    /** Whether this instance has closed the connection. */
    var isClosedHere = false
        private set

    /** Whether the connection had worked, and was closed because nothing arrived on it any more. The peer may still be running. */
    var hasGoneSilent = false
        private set

    /** Whether the connection is established or being established. */
    val isOpen: Boolean get() = channel.isOpen

    /** Whether the connection is established. */
    val isActive: Boolean get() = channel.isActive

    /** Sends [message]. Closes the connection instead if its write buffer is full, which limits the memory used for a slow reader. */
    fun send(message: PeerMessage) {
        if (!channel.isWritable && channel.isActive) {
            close()
            return
        }
        monitor.recordSent()
        val frame = encode(message)
        if (channel.isActive) channel.writeAndFlush(frame) else queuedFrames.addLast(frame)
    }

    /** Sends a message that the peer returns. It does not count as use of the connection. */
    fun sendKeepAlive() {
        if (channel.isActive && channel.isWritable) channel.writeAndFlush(encode(PeerMessage.KEEP_ALIVE))
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun encode(message: PeerMessage): ByteBuf = Unpooled.wrappedBuffer(Cbor.encodeToByteArray<PeerMessage>(message))

    /** Sends a keep-alive and the queued messages once the connection is established. */
    fun onConnected() {
        sendKeepAlive()
        while (queuedFrames.isNotEmpty()) channel.write(queuedFrames.removeFirst())
        channel.flush()
    }

    fun close() {
        isClosedHere = true
        channel.close()
    }

    /** Closes the connection because nothing arrives on it. */
    fun closeSilent() {
        hasGoneSilent = monitor.hasReceived
        close()
    }
}
