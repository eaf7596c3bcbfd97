package io.monsoonpath.app.timeline

import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** A process whose events were read; a restart of an instance is another process. */
internal data class ProcessId(
    val instance: InstanceId,
    val incarnation: Incarnation,
) : Comparable<ProcessId> {
    override fun compareTo(other: ProcessId): Int = compareValuesBy(this, other, { it.instance }, { it.incarnation.value })

    override fun toString(): String = "$instance@$incarnation"
}

/**
 * An event at its place in the merged order.
 *
 * @property commonMs the estimated time on a scale common to all processes; only the order is certain, and only where
 * messages or a process's own sequence fix it
 * @property sendIndex the index of the entry in which the message that this one receives was sent, or null
 */
internal data class TimelineEntry(
    val record: EventRecord,
    val commonMs: Long,
    val sendIndex: Int? = null,
)

/** A run of events of one process that were dropped before they could be read. */
internal data class DroppedEvents(
    val process: ProcessId,
    val fromSeq: Long,
    val toSeq: Long,
)

/**
 * The events of several processes in one order.
 *
 * @property contradictions the number of receipts that had to be placed before their sending, because the streams
 * contradict each other
 */
internal class Timeline(
    val entries: List<TimelineEntry>,
    val dropped: List<DroppedEvents>,
    val contradictions: Int,
)

/** The process that an event belongs to. */
internal val EventRecord.process: ProcessId
    get() = ProcessId(instance, incarnation)
