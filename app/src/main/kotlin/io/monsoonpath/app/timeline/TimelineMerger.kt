package io.monsoonpath.app.timeline

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.InstanceId
import java.util.PriorityQueue

/**
 * Merges the events of several processes into one order.
 *
 * Clocks are not shared, so the order comes from causality: each process's own sequence, and the sending of a message
 * before its receipt. Events that neither orders are placed by an estimate of the clocks' offsets.
 */
internal fun mergeTimeline(records: Collection<EventRecord>): Timeline {
    val streams = records.groupBy { it.process }.toSortedMap().mapValues { (_, stream) -> stream.sortedBy { it.seq }.distinctBy { it.seq } }
    return TimelineMerger(streams, estimateOffsetsMs(streams)).run()
}

/** A message as both of its ends name it. */
internal data class MessageKey(
    val from: ProcessId,
    val to: InstanceId,
    val messageSeq: Long,
)

/** Returns the message that this event sends, or null. */
internal fun EventRecord.sentOrNull(): MessageKey? = (event as? Event.MessageSent)?.let { MessageKey(process, it.to, it.messageSeq) }

/** Returns the message that this event receives, or null. */
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

    /** Makes a process's next event ready, or blocks it until the message that it receives has been placed. */
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

    /** Frees the earliest blocked process where contradictory streams block all of them. */
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
