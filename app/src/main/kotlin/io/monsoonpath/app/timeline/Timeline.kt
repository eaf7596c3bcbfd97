package io.monsoonpath.app.timeline

import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** Identifies a process whose events were read. A restarted instance is a new process with another incarnation. */
internal data class ProcessId(
    val instance: InstanceId,
    val incarnation: Incarnation,
) : Comparable<ProcessId> {
    override fun compareTo(other: ProcessId): Int = compareValuesBy(this, other, { it.instance }, { it.incarnation.value })

    override fun toString(): String = "$instance@$incarnation"
}

/**
 * Represents an event in the merged order.
 *
 * @property commonMs the estimated time in milliseconds on a scale common to all processes. Only the order of events is
 * certain, and only where messages or the sequence numbers of a process determine it.
 * @property sendIndex the index of the entry that records the sending of the message received here, or null if this entry
 * is not a receipt or its sending has not been placed before it
 */
internal data class TimelineEntry(
    val record: EventRecord,
    val commonMs: Long,
    val sendIndex: Int? = null,
)

/** Represents a range of consecutive events of one process that were dropped before they could be read. */
internal data class DroppedEvents(
    val process: ProcessId,
    val fromSeq: Long,
    val toSeq: Long,
)

/**
 * Represents the events of several processes in one order.
 *
 * @property contradictions the number of receipts that had to be placed before the sending of their message because the
 * streams contradict each other
 */
internal class Timeline(
    val entries: List<TimelineEntry>,
    val dropped: List<DroppedEvents>,
    val contradictions: Int,
)

/** The process that recorded this event. */
internal val EventRecord.process: ProcessId
    get() = ProcessId(instance, incarnation)
