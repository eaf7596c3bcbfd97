package io.monsoonpath.app.event

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/**
 * The newest events of one process, at most [capacity] of them.
 *
 * Sequence numbers have no gaps, so a reader sees how many older events were dropped.
 */
internal class EventLog(
    private val instance: InstanceId,
    private val incarnation: Incarnation,
    private val clock: ClockMs,
    private val capacity: Int = DEFAULT_CAPACITY,
) : EventSink {
    private val records = ArrayDeque<EventRecord>(capacity)
    private var lastSeq = 0L

    init {
        require(capacity > 0) { "capacity must be positive, was $capacity" }
    }

    override fun emit(event: Event): Unit =
        synchronized(records) {
            if (records.size == capacity) records.removeFirst()
            lastSeq++
            records.addLast(EventRecord(instance, incarnation, lastSeq, clock.nowMs(), event))
        }

    /** Returns the kept events with a sequence number above [seq], in order, at most [limit] of them. */
    fun after(
        seq: Long,
        limit: Int = capacity,
    ): List<EventRecord> = synchronized(records) { records.filter { it.seq > seq }.take(limit) }

    private companion object {
        const val DEFAULT_CAPACITY = 16_384
    }
}
