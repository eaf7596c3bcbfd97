package io.monsoonpath.app.peer

import io.monsoonpath.coordination.message.PeerMessage
import kotlinx.coroutines.channels.Channel
import java.util.concurrent.atomic.AtomicLong

/** A queue of messages to one peer, bounded in number and bytes; messages that do not fit are dropped and counted. */
internal class OutboundQueue(
    private val counters: PeerCounters,
    private val maxMessages: Int = MAX_MESSAGES,
    private val maxBytes: Long = MAX_BYTES,
) {
    private val pending = Channel<EncodedMessage>(maxMessages)
    private val pendingBytes = AtomicLong()

    /** Adds [message], or drops it if the queue is full or the message is too large; never blocks. */
    fun offer(message: PeerMessage) {
        val encoded = encodeMessage(message)
        val fits = encoded.bytes.size <= MAX_MESSAGE_BYTES && pendingBytes.addAndGet(encoded.bytes.size.toLong()) <= maxBytes
        if (fits && pending.trySend(encoded).isSuccess) return
        if (encoded.bytes.size <= MAX_MESSAGE_BYTES) pendingBytes.addAndGet(-encoded.bytes.size.toLong())
        counters.droppedMessages.increment()
    }

    /** Waits for a message and returns it with the messages queued behind it, until they reach [FULL_BATCH_BYTES]. */
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

    /** Drops all queued messages because the peer is unreachable; senders repeat the messages that are still relevant. */
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
