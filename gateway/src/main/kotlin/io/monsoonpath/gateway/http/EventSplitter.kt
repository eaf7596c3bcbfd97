package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Represents a complete event of a stream; [bytes] include the blank line that ends it, and [id] is null if it has no numeric ID. */
class StreamEvent(
    val id: Long?,
    val bytes: ByteArray,
)

/** Splits the bytes of an event stream into events. */
class EventSplitter {
    private val buffer = Unpooled.buffer()

    /** The number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = buffer.readableBytes()

    /** Appends [content] and returns the events that it completes. */
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

    /** Removes and returns the bytes after the last complete event; if the response is not an event stream, that is all of its bytes. */
    fun takeRemaining(): ByteArray = ByteArray(buffer.readableBytes()).also { buffer.readBytes(it) }

    /** Discards the incomplete event. */
    fun clear() {
        buffer.clear()
    }

    /** Returns the length of the first event including its blank line, or -1 if it is incomplete. */
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
