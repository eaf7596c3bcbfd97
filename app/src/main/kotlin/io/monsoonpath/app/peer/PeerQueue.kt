package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.PeerMessage
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** The messages that wait to be written to one peer, bounded in number and bytes; what does not fit is dropped and counted. */
internal class PeerQueue(
    private val counters: PeerCounters,
    private val maxMessages: Int = MAX_MESSAGES,
    private val maxBytes: Long = MAX_BYTES,
) {
    private val waiting = Channel<EncodedMessage>(maxMessages)
    private val bytes = AtomicLong()

    /** Adds [message] unless the queue is full; never waits. */
    fun offer(message: PeerMessage) {
        val encoded = encodeMessage(message)
        val fits = encoded.bytes.size <= MAX_MESSAGE_BYTES && bytes.addAndGet(encoded.bytes.size.toLong()) <= maxBytes
        if (fits && waiting.trySend(encoded).isSuccess) return
        if (encoded.bytes.size <= MAX_MESSAGE_BYTES) bytes.addAndGet(-encoded.bytes.size.toLong())
        counters.dropped.increment()
    }

    /** Waits for a message and returns it with those behind it, as many as one frame takes. */
    suspend fun takeBatch(): List<EncodedMessage> {
        val batch = mutableListOf(waiting.receive())
        var size = batch[0].bytes.size
        while (size < BATCH_BYTES) {
            val next = waiting.tryReceive().getOrNull() ?: break
            batch += next
            size += next.bytes.size
        }
        bytes.addAndGet(-size.toLong())
        return batch
    }

    /** Drops everything that waits, because the peer cannot be reached; the senders repeat what still matters. */
    fun dropAll() {
        while (true) {
            val message = waiting.tryReceive().getOrNull() ?: return
            bytes.addAndGet(-message.bytes.size.toLong())
            counters.dropped.increment()
        }
    }

    private companion object {
        const val MAX_MESSAGES = 4_096
        const val MAX_BYTES = 4L * 1_048_576
        const val MAX_MESSAGE_BYTES = 524_288
        const val BATCH_BYTES = 65_536
    }
}
