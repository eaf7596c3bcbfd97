package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * The memory that the incomplete responses of all requests may take together: a faulty server can send many of them without end.
 *
 * A response that exceeds [FAIR_BYTES] must not grow any more while the budget is used up. Must be used on the event loop only.
 *
 * @param maxBytes the memory in bytes, by default a fraction of the heap
 */
class BufferBudget(
    private val maxBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_FRACTION,
) {
    /** The bytes that are in use. */
    var usedBytes = 0L
        private set

    /** Returns whether a buffer of [bytes] bytes may grow. */
    fun allows(bytes: Int): Boolean = bytes <= FAIR_BYTES || usedBytes <= maxBytes

    /** Changes the used bytes by [bytes], which is negative if memory was freed. */
    internal fun change(bytes: Int) {
        usedBytes += bytes
    }

    /** What a budget allows to each response. */
    companion object {
        /** The size up to which each response is buffered, in bytes. */
        const val FAIR_BYTES = 16 * 1024

        /** Leaves room for the copies that are made when buffers grow, and for everything else. */
        private const val HEAP_FRACTION = 8
    }
}

/** A growing buffer whose memory counts against [budget] until [clear] or [take] is called. */
internal class BudgetedBuffer(
    private val budget: BufferBudget,
) {
    private var content: ByteBuf = Unpooled.EMPTY_BUFFER
    private var chargedBytes = 0

    /** The number of bytes in the buffer. */
    val size: Int get() = content.readableBytes()

    /** Whether the buffer may grow. */
    val mayGrow: Boolean get() = budget.allows(size)

    /** Appends the readable bytes of [bytes] without changing its reader index. */
    fun append(bytes: ByteBuf) {
        if (content === Unpooled.EMPTY_BUFFER) content = Unpooled.buffer(INITIAL_BYTES)
        content.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes())
        charge(content.capacity())
    }

    /** Returns the byte at [index], counted from the first byte of the buffer. */
    operator fun get(index: Int): Byte = content.getByte(content.readerIndex() + index)

    /** Removes and returns the first [length] bytes. */
    fun remove(length: Int): ByteArray = ByteArray(length).also { content.readBytes(it) }

    /** Frees the space of removed bytes for more. */
    fun compact() {
        content.discardReadBytes()
    }

    /** Returns the content, which the caller must release, and leaves the buffer empty. */
    fun take(): ByteBuf = content.also { replace() }

    /** Discards the content. */
    fun clear() {
        content.release()
        replace()
    }

    private fun replace() {
        content = Unpooled.EMPTY_BUFFER
        charge(0)
    }

    private fun charge(bytes: Int) {
        budget.change(bytes - chargedBytes)
        chargedBytes = bytes
    }

    private companion object {
        const val INITIAL_BYTES = 256
    }
}
