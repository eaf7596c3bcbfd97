package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.PeerMessage
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** The messages that wait to be written to one peer, bounded in number and bytes; what does not fit is dropped and counted. */
internal class OutboundQueue(
    private val counters: PeerCounters,
    private val maxMessages: Int = MAX_MESSAGES,
    private val maxBytes: Long = MAX_BYTES,
) {
    private val pending = Channel<EncodedMessage>(maxMessages)
    private val pendingBytes = AtomicLong()

    /** Adds [message] unless the queue is full; never waits. */
    fun offer(message: PeerMessage) {
        val encoded = encodeMessage(message)
        val fits = encoded.bytes.size <= MAX_MESSAGE_BYTES && pendingBytes.addAndGet(encoded.bytes.size.toLong()) <= maxBytes
        if (fits && pending.trySend(encoded).isSuccess) return
        if (encoded.bytes.size <= MAX_MESSAGE_BYTES) pendingBytes.addAndGet(-encoded.bytes.size.toLong())
        counters.droppedMessages.increment()
    }

    /** Waits for a message and returns it with those behind it, as many as one frame takes. */
    suspend fun takeBatch(): List<EncodedMessage> {
        val batch = mutableListOf(pending.receive())
        var size = batch[0].bytes.size
        while (size < FULL_BATCH_BYTES) {
            val next = pending.tryReceive().getOrNull() ?: break
            batch += next
            size += next.bytes.size
        }
        pendingBytes.addAndGet(-size.toLong())
        return batch
    }

    /** Drops everything that waits, because the peer cannot be reached; the senders repeat what still matters. */
    fun dropAll() {
        while (true) {
            val message = pending.tryReceive().getOrNull() ?: return
            pendingBytes.addAndGet(-message.bytes.size.toLong())
            counters.droppedMessages.increment()
        }
    }

    private companion object {
        const val MAX_MESSAGES = 4_096
        const val MAX_BYTES = 4L * 1_048_576
        const val MAX_MESSAGE_BYTES = 524_288
        const val FULL_BATCH_BYTES = 65_536
    }
}
