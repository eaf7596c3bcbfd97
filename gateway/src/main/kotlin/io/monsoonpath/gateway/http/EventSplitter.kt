package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** A whole event of a stream, with the blank line that ends it. */
class StreamEvent(
    val id: Long?,
    val bytes: ByteArray,
)

/** Cuts the bytes of an event stream into events. */
class EventSplitter {
    private val buffer = Unpooled.buffer()

    /** The bytes of an event that has not ended. */
    val pendingBytes: Int get() = buffer.readableBytes()

    /** Takes in [content] and returns the events that it completes. */
    fun add(content: ByteBuf): List<StreamEvent> {
        buffer.writeBytes(content, content.readerIndex(), content.readableBytes())
        val events = ArrayList<StreamEvent>()
        while (true) {
            val length = eventLength()
            if (length < 0) break
            val bytes = ByteArray(length)
            buffer.readBytes(bytes)
            events += StreamEvent(idOf(bytes), bytes)
        }
        buffer.discardReadBytes()
        return events
    }

    /** Returns and forgets the bytes after the last whole event: all of an answer that is no event stream. */
    fun takeRemaining(): ByteArray = ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) }

    /** Forgets the event that has not ended. */
    fun clear() {
        buffer.clear()
    }

    /** Returns the length of the first event with its blank line, or -1. */
    private fun eventLength(): Int {
        var lineStart = buffer.readerIndex()
        for (i in buffer.readerIndex() until buffer.writerIndex()) {
            if (buffer.getByte(i) != NEWLINE) continue
            val isBlank = i == lineStart || (i == lineStart + 1 && buffer.getByte(lineStart) == CARRIAGE_RETURN)
            if (isBlank && lineStart > buffer.readerIndex()) return i + 1 - buffer.readerIndex()
            lineStart = i + 1
        }
        return -1
    }

    private fun idOf(bytes: ByteArray): Long? =
        String(bytes, Charsets.UTF_8)
            .lineSequence()
            .firstOrNull { it.startsWith(ID_FIELD) }
            ?.removePrefix(ID_FIELD)
            ?.trim()
            ?.toLongOrNull()

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID_FIELD = "id:"
    }
}
