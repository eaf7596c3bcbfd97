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
    return Merge(streams, estimateOffsetsMs(streams)).run()
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

private class Merge(
    streams: Map<ProcessId, List<EventRecord>>,
    private val offsetsMs: Map<ProcessId, Long>,
) {
    private val heads = streams.mapValues { ArrayDeque(it.value) }
    private val dropped = streams.flatMap { (process, stream) -> droppedOf(process, stream) }
    private val allSent = streams.values.flatten().mapNotNullTo(HashSet()) { it.sentOrNull() }
    private val sentAt = HashMap<MessageKey, Int>()
    private val blocked = HashMap<MessageKey, MutableList<ProcessId>>()
    private val ready = PriorityQueue(compareBy<ProcessId>({ commonMs(heads.getValue(it).first()) }, { it }))
    private val entries = ArrayList<TimelineEntry>()
    private var contradictions = 0

    fun run(): Timeline {
        heads.keys.forEach { admit(it) }
        while (true) {
            val process = ready.poll() ?: releaseBlocked() ?: break
            take(process)
        }
        return Timeline(entries, dropped, contradictions)
    }

    /** Makes a process's next event ready, or blocks it until the message that it receives has been placed. */
    private fun admit(process: ProcessId) {
        val head = heads.getValue(process).firstOrNull() ?: return
        val message = head.receivedOrNull()
        if (message != null && message in allSent && message !in sentAt) {
            blocked.getOrPut(message) { mutableListOf() } += process
        } else {
            ready += process
        }
    }

    private fun take(process: ProcessId) {
        val record = heads.getValue(process).removeFirst()
        entries += TimelineEntry(record, commonMs(record), record.receivedOrNull()?.let { sentAt[it] })
        admit(process)
        val message = record.sentOrNull() ?: return
        sentAt[message] = entries.lastIndex
        ready += blocked.remove(message).orEmpty()
    }

    /** Frees the earliest blocked process where contradictory streams block all of them. */
    private fun releaseBlocked(): ProcessId? {
        val process = blocked.values.flatten().minByOrNull { commonMs(heads.getValue(it).first()) } ?: return null
        blocked.values.forEach { it -= process }
        blocked.values.removeIf { it.isEmpty() }
        contradictions++
        return process
    }

    private fun commonMs(record: EventRecord): Long = record.atMs + offsetsMs.getValue(record.process)
}

private fun droppedOf(
    process: ProcessId,
    stream: List<EventRecord>,
): List<DroppedEvents> {
    val firstMissing = listOf(0L) + stream.map { it.seq }
    return firstMissing
        .zip(
            stream,
        ) { before, record -> DroppedEvents(process, before + 1, record.seq - 1) }
        .filter { it.fromSeq <= it.toSeq }
}
