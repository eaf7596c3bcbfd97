package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.TimeUnit

/**
 * Passes received bytes to the decoder in copies of at most [DECODED_BYTES], so that no small rest keeps the buffer of a whole read, and
 * holds the others while [mayDecode] returns false or others have their turn.
 *
 * @param onBytes called before received bytes are decoded
 * @param resume called when the connection has its turn again
 */
internal class CallerReadAhead(
    private val account: CallerAccount,
    private val mayDecode: () -> Boolean,
    private val onBytes: () -> Unit,
    private val resume: () -> Unit,
) : ChannelInboundHandlerAdapter() {
    private var context: ChannelHandlerContext? = null
    private var held: ByteBuf? = null

    /** The messages that were decoded since other connections had their turn. */
    private var turnMessages = 0
    private var hasYielded = false

    /** Whether bytes are held. */
    val isHolding: Boolean get() = held != null

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        onBytes()
        if (msg is ByteBuf) receive(msg) else ctx.fireChannelRead(msg)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (held == null) turnMessages = 0
        ctx.fireChannelReadComplete()
    }

    /** Counts a decoded message. */
    fun countMessage() {
        turnMessages++
    }

    /** Counts a request that is being handled: pipelined requests that are refused at once would else take the event loop for seconds. */
    fun countRequest() {
        turnMessages += MESSAGES_PER_REQUEST
    }

    private fun receive(bytes: ByteBuf) {
        try {
            if (held == null) decode(bytes)
            if (!bytes.isReadable) return
            account.chargeAlways(bytes.readableBytes().toLong())
            held = (held ?: Unpooled.buffer(bytes.readableBytes())).writeBytes(bytes)
            context?.channel()?.config()?.isAutoRead = false
            yieldIfTurnIsOver()
        } finally {
            bytes.release()
        }
    }

    /** Decodes held bytes as far as that is possible now. */
    fun decodeHeld() {
        val bytes = held ?: return
        val before = bytes.readableBytes()
        decode(bytes)
        account.free((before - bytes.readableBytes()).toLong())
        if (bytes.isReadable) yieldIfTurnIsOver() else discard()
    }

    /** Discards held bytes. */
    fun discard() {
        held?.release()
        held = null
    }

    private fun decode(bytes: ByteBuf) {
        while (bytes.isReadable && turnMessages < MAX_TURN_MESSAGES && mayDecode()) {
            val length = minOf(bytes.readableBytes(), DECODED_BYTES)
            context?.fireChannelRead(Unpooled.buffer(length).writeBytes(bytes, length))
        }
    }

    /** A body of very small chunks must not keep the event loop from the other connections. */
    private fun yieldIfTurnIsOver() {
        if (turnMessages < MAX_TURN_MESSAGES || hasYielded) return
        hasYielded = true
        context?.executor()?.schedule({
            hasYielded = false
            turnMessages = 0
            if (context?.channel()?.isActive == true) resume()
        }, YIELD_MS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        /** Far more messages than a body in usual parts has in one read. */
        const val MAX_TURN_MESSAGES = 1_024

        /** To route a request, to attempt it and to log that costs about as much processor time as to decode this many messages. */
        const val MESSAGES_PER_REQUEST = 64
        const val YIELD_MS = 1L
        const val DECODED_BYTES = 2 * 1024
    }
}
