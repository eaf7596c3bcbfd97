package io.monsoonpath.app.timeline

import io.monsoonpath.model.Event
import io.monsoonpath.model.EventRecord

/**
 * Returns for each process the estimated offset in milliseconds that converts its clock to a common scale.
 *
 * A message bounds the difference of two clocks from one side, because its receipt is not before its sending. Messages in
 * both directions give an interval, whose midpoint is the estimate. Processes that no messages connect are aligned by the
 * first configuration revision that both adopted, or by their first events if they adopted none in common. The earliest
 * event of all processes is at time 0.
 */
internal fun estimateOffsetsMs(streams: Map<ProcessId, List<EventRecord>>): Map<ProcessId, Long> {
    val bounds = lowerBoundsMs(streams)
    val offsets = LinkedHashMap<ProcessId, Long>()
    for (start in streams.keys) {
        if (start in offsets) continue
        offsets[start] = alignByRevisionsMs(start, streams, offsets)
        extendOffsets(start, streams.keys, bounds, offsets)
    }
    val earliestMs = streams.minOfOrNull { (process, stream) -> stream.first().atMs + offsets.getValue(process) } ?: 0
    return offsets.mapValues { it.value - earliestMs }
}

/** Adds to [offsets] all processes that messages connect with [start], directly or through other processes. */
private fun extendOffsets(
    start: ProcessId,
    processes: Set<ProcessId>,
    bounds: Map<Pair<ProcessId, ProcessId>, Long>,
    offsets: MutableMap<ProcessId, Long>,
) {
    val queue = ArrayDeque(listOf(start))
    while (queue.isNotEmpty()) {
        val from = queue.removeFirst()
        for (to in processes) {
            if (to in offsets) continue
            val differenceMs = differenceMsOrNull(bounds[from to to], bounds[to to from]) ?: continue
            offsets[to] = offsets.getValue(from) + differenceMs
            queue += to
        }
    }
}

/**
 * Returns the estimated difference between the offsets of two processes, or null if there is no message between them.
 *
 * The result is the midpoint of the bounds from both directions, or the single bound if messages went in one direction only.
 */
private fun differenceMsOrNull(
    lowerMs: Long?,
    reverseLowerMs: Long?,
): Long? =
    when {
        lowerMs != null && reverseLowerMs != null -> (lowerMs - reverseLowerMs) / 2
        lowerMs != null -> lowerMs
        reverseLowerMs != null -> -reverseLowerMs
        else -> null
    }

/** Returns for each pair (from, to) the lower bound that the messages between them set for the offset of `to` minus that of `from`. */
private fun lowerBoundsMs(streams: Map<ProcessId, List<EventRecord>>): Map<Pair<ProcessId, ProcessId>, Long> {
    val sentAtMs = HashMap<MessageKey, Long>()
    streams.values.forEach { stream -> stream.forEach { record -> record.sentOrNull()?.let { sentAtMs[it] = record.atMs } } }
    val bounds = HashMap<Pair<ProcessId, ProcessId>, Long>()
    streams.values.flatten().forEach { record ->
        val message = record.receivedOrNull() ?: return@forEach
        val atMs = sentAtMs[message] ?: return@forEach
        bounds.merge(message.from to record.process, atMs - record.atMs, ::maxOf)
    }
    return bounds
}

private fun alignByRevisionsMs(
    process: ProcessId,
    streams: Map<ProcessId, List<EventRecord>>,
    offsets: Map<ProcessId, Long>,
): Long {
    val ownTimesMs = streams.getValue(process).adoptionTimesMs()
    for ((other, offsetMs) in offsets) {
        val otherTimesMs = streams.getValue(other).adoptionTimesMs()
        val revision = ownTimesMs.keys.firstOrNull { it in otherTimesMs } ?: continue
        return otherTimesMs.getValue(revision) + offsetMs - ownTimesMs.getValue(revision)
    }
    return -streams.getValue(process).first().atMs
}

private fun List<EventRecord>.adoptionTimesMs(): Map<Long, Long> =
    mapNotNull { record -> (record.event as? Event.ConfigurationAdopted)?.let { it.revision.value to record.atMs } }.toMap()
