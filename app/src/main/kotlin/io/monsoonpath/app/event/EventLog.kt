package io.monsoonpath.app.event

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReferenceArray

/**
 * A ring buffer of the newest events of one process, at most [capacity] of them.
 *
 * Sequence numbers have no gaps, so a reader can tell how many older events were dropped. Writers do not block each other.
 */
internal class EventLog(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val clock: ClockMs,
    private val capacity: Int = DEFAULT_CAPACITY,
) : EventSink {
    private val slots: AtomicReferenceArray<EventRecord?>
    private val lastSeqCounter = AtomicLong()

    init {
        require(capacity > 0) { "capacity must be positive, was $capacity" }
        slots = AtomicReferenceArray(capacity)
    }

    /** The sequence number of the newest event, or 0 before the first event. */
    val lastSeq: Long get() = lastSeqCounter.get()

    /** The number of events that are no longer retained. */
    val dropped: Long get() = (lastSeq - capacity).coerceAtLeast(0)

    override fun emit(event: Event) {
        val seq = lastSeqCounter.incrementAndGet()
        slots.set(slotIndex(seq), EventRecord(instance, incarnation, seq, clock.nowMs(), event))
    }

    /** Returns the retained events with a sequence number above [seq], in ascending order, at most [limit] of them. */
    fun after(
        seq: Long,
        limit: Int = capacity,
    ): List<EventRecord> {
        val newest = lastSeq
        val first = maxOf(seq + 1, newest - capacity + 1)
        return (first..newest)
            .asSequence()
            .map { it to slots.get(slotIndex(it)) }
            .filterNot { (expectedSeq, record) -> record != null && record.seq > expectedSeq }
            .takeWhile { (expectedSeq, record) -> record?.seq == expectedSeq }
            .mapNotNull { it.second }
            .take(limit)
            .toList()
    }

    private fun slotIndex(seq: Long) = (seq % capacity).toInt()

    private companion object {
        const val DEFAULT_CAPACITY = 16_384
    }
}
