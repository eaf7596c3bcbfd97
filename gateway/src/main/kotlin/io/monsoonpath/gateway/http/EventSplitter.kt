package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf

/** Represents a complete event of a stream; [bytes] include the blank line that ends it, and [id] is null if it has no numeric ID. */
class StreamEvent(
    val id: Long?,
    val bytes: ByteArray,
)

/** Splits the bytes of an event stream into events. The incomplete event counts against [budget] until [clear] is called. */
class EventSplitter(
    budget: BufferBudget,
) {
    private val buffer = BudgetedBuffer(budget)

    /** The start of the current line and the number of bytes already searched, both relative to the start of the incomplete event. */
    private var lineStart = 0
    private var searchedBytes = 0

    /** Whether the incomplete event is longer than any event of an engine or than the budget allows; the stream is probably none. */
    val isOverflowing: Boolean get() = pendingBytes > MAX_EVENT_BYTES || !buffer.mayGrow

    /** The number of buffered bytes of an incomplete event. */
    val pendingBytes: Int get() = buffer.size

    /** Appends [content] and returns the events that it completes. */
    fun add(content: ByteBuf): List<StreamEvent> {
        buffer.append(content)
        val events = ArrayList<StreamEvent>()
        while (true) {
            val length = eventLength()
            if (length < 0) break
            val bytes = buffer.remove(length)
            resetSearch()
            events += StreamEvent(idOf(bytes), bytes)
        }
        buffer.compact()
        return events
    }

    /** Removes and returns the bytes after the last complete event; if the response is not an event stream, that is all of its bytes. */
    fun takeRemaining(): ByteArray = buffer.remove(buffer.size)

    /** Discards the incomplete event. */
    fun clear() {
        buffer.clear()
        resetSearch()
    }

    private fun resetSearch() {
        lineStart = 0
        searchedBytes = 0
    }

    /** Returns the length of the first event including its blank line, or -1 if it is incomplete. */
    private fun eventLength(): Int {
        while (searchedBytes < buffer.size) {
            val i = searchedBytes++
            if (buffer[i] != NEWLINE) continue
            val isBlank = i == lineStart || (i == lineStart + 1 && buffer[lineStart] == CARRIAGE_RETURN)
            if (isBlank && lineStart > 0) return i + 1
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

        /** Events carry a few tokens, of some hundred bytes. */
        const val MAX_EVENT_BYTES = 1 shl 20
    }
}
