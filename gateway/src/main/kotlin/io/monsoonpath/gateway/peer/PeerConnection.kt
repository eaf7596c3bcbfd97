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
    private var queuedBytes = 0

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

    /**
     * Sends [message], and returns false if it is too long for a peer to accept. Closes the connection instead if the messages that wait to
     * be written have more than [MAX_WAITING_BYTES], which limits the memory used for a slow reader.
     */
    fun send(message: PeerMessage): Boolean {
        val frame = encode(message)
        if (frame.readableBytes() > MAX_MESSAGE_BYTES) return false
        monitor.recordSent()
        when {
            channel.isActive -> if (channel.isWritable) channel.writeAndFlush(frame) else close()
            queuedBytes + frame.readableBytes() > MAX_WAITING_BYTES -> close()
            channel.isOpen -> {
                queuedBytes += frame.readableBytes()
                queuedFrames.addLast(frame)
            }
        }
        return true
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
        queuedBytes = 0
        channel.flush()
    }

    fun close() {
        isClosedHere = true
        queuedFrames.clear()
        queuedBytes = 0
        channel.close()
    }

    /** Closes the connection because nothing arrives on it. */
    fun closeSilent() {
        hasGoneSilent = monitor.hasReceived
        close()
    }

    /** The limits of messages, which sender and receiver share. */
    companion object {
        const val LENGTH_BYTES = 4

        /** Fits a document of one megabyte in Base64 and the other fields of its message, with the length of the frame. */
        const val MAX_FRAME_BYTES = 1 shl 21

        /** The longest message. */
        const val MAX_MESSAGE_BYTES = MAX_FRAME_BYTES - LENGTH_BYTES

        /** Two of the longest messages. */
        const val MAX_WAITING_BYTES = 2 * MAX_FRAME_BYTES
    }
}
