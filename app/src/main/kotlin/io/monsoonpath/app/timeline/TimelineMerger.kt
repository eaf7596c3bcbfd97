package io.monsoonpath.app.timeline

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.InstanceId
import java.util.PriorityQueue

/**
 * Merges the events of several processes into one order.
 *
 * The clocks of the processes are not synchronized, so the order follows causality: the events of a process keep the order
 * of their sequence numbers, and a message is sent before it is received. Events that causality does not order are placed by
 * estimated clock offsets.
 */
internal fun mergeTimeline(records: Collection<EventRecord>): Timeline {
    val streams = records.groupBy { it.process }.toSortedMap().mapValues { (_, stream) -> stream.sortedBy { it.seq }.distinctBy { it.seq } }
    return TimelineMerger(streams, estimateOffsetsMs(streams)).run()
}

/** Identifies a message by values that both the sender and the receiver record. */
internal data class MessageKey(
    val from: ProcessId,
    val to: InstanceId,
    val messageSeq: Long,
)

/** Returns the message whose sending this event records, or null if it records none. */
internal fun EventRecord.sentOrNull(): MessageKey? = (event as? Event.MessageSent)?.let { MessageKey(process, it.to, it.messageSeq) }

/** Returns the message whose receipt this event records, or null if it records none. */
internal fun EventRecord.receivedOrNull(): MessageKey? =
    (event as? Event.MessageReceived)?.let { MessageKey(ProcessId(it.from, it.fromIncarnation), instance, it.messageSeq) }

private class TimelineMerger(
    streams: Map<ProcessId, List<EventRecord>>,
    private val offsetsMs: Map<ProcessId, Long>,
) {
    private val remaining = streams.mapValues { ArrayDeque(it.value) }
    private val dropped = streams.flatMap { (process, stream) -> findDropped(process, stream) }
    private val sentMessages = streams.values.flatten().mapNotNullTo(HashSet()) { it.sentOrNull() }
    private val sendIndexes = HashMap<MessageKey, Int>()
    private val blocked = HashMap<MessageKey, MutableList<ProcessId>>()
    private val ready = PriorityQueue(compareBy<ProcessId>({ commonMs(remaining.getValue(it).first()) }, { it }))
    private val entries = ArrayList<TimelineEntry>()
    private var contradictions = 0

    fun run(): Timeline {
        remaining.keys.forEach { enqueue(it) }
        while (true) {
            val process = ready.poll() ?: unblockEarliestOrNull() ?: break
            place(process)
        }
        return Timeline(entries, dropped, contradictions)
    }

    /** Marks [process] as ready, or as blocked if its next event is the receipt of a message whose sending is not placed yet. */
    private fun enqueue(process: ProcessId) {
        val head = remaining.getValue(process).firstOrNull() ?: return
        val message = head.receivedOrNull()
        if (message != null && message in sentMessages && message !in sendIndexes) {
            blocked.getOrPut(message) { mutableListOf() } += process
        } else {
            ready += process
        }
    }

    private fun place(process: ProcessId) {
        val record = remaining.getValue(process).removeFirst()
        entries += TimelineEntry(record, commonMs(record), record.receivedOrNull()?.let { sendIndexes[it] })
        enqueue(process)
        val message = record.sentOrNull() ?: return
        sendIndexes[message] = entries.lastIndex
        ready += blocked.remove(message).orEmpty()
    }

    /**
     * Unblocks and returns the process with the earliest next event, or returns null if no process is blocked.
     *
     * Called when no process is ready, which happens to blocked processes only if their streams contradict each other.
     */
    private fun unblockEarliestOrNull(): ProcessId? {
        val process = blocked.values.flatten().minByOrNull { commonMs(remaining.getValue(it).first()) } ?: return null
        blocked.values.forEach { it -= process }
        blocked.values.removeIf { it.isEmpty() }
        contradictions++
        return process
    }

    private fun commonMs(record: EventRecord): Long = record.atMs + offsetsMs.getValue(record.process)
}

private fun findDropped(
    process: ProcessId,
    stream: List<EventRecord>,
): List<DroppedEvents> {
    val previousSeqs = listOf(0L) + stream.map { it.seq }
    return previousSeqs
        .zip(
            stream,
        ) { previous, record -> DroppedEvents(process, previous + 1, record.seq - 1) }
        .filter { it.fromSeq <= it.toSeq }
}
