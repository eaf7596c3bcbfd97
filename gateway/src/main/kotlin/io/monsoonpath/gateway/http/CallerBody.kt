package io.monsoonpath.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/**
 * The body of a request that is being read; one buffer, since an object for each small chunk takes far more memory than its bytes.
 *
 * @param expectedBytes the length that the head states, or the highest number if it states none
 * @param charge returns whether a number of bytes may be held
 */
internal class CallerBody(
    private val expectedBytes: Long,
    private val charge: (Long) -> Boolean,
) {
    private var buffer: ByteBuf? = null

    /** The bytes that were charged. */
    var chargedBytes = 0L
        private set

    /** Appends the readable bytes of [bytes], and returns false if there is no memory for them. */
    fun append(
        bytes: ByteBuf,
        allocator: ByteBufAllocator,
    ): Boolean {
        val length = (buffer?.readableBytes() ?: 0) + bytes.readableBytes()
        if (length > chargedBytes && !grow(length, allocator)) return false
        buffer?.writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes())
        return true
    }

    private fun grow(
        length: Int,
        allocator: ByteBufAllocator,
    ): Boolean {
        val capacity = minOf(maxOf(2 * chargedBytes, MIN_BYTES), expectedBytes).coerceAtLeast(length.toLong())
        if (!charge(capacity - chargedBytes)) return false
        chargedBytes = capacity
        buffer = buffer?.capacity(capacity.toInt()) ?: allocator.buffer(capacity.toInt())
        return true
    }

    /** Returns the content, which the caller must release, and leaves the body empty. */
    fun take(): ByteBuf = (buffer ?: Unpooled.EMPTY_BUFFER).also { buffer = null }

    private companion object {
        const val MIN_BYTES = 512L
    }
}
