package io.monsoonpath.policy.fairness

import io.monsoonpath.model.WorkspaceId
import java.util.TreeSet

/**
 * The queued requests of one workspace and its state in start-time fair queueing.
 *
 * @property order the position in which the flow was created; breaks ties
 */
internal class Flow<T>(
    val workspace: WorkspaceId,
    val order: Int,
) {
    val requests = TreeSet<QueuedRequest<T>>(::compareUrgency)
    var weight = 1.0
    var priority = 0
    var startTag = 0.0
    var backlogMs = 0.0

    fun add(request: QueuedRequest<T>) {
        requests.add(request)
        backlogMs += request.costMs
    }

    fun remove(request: QueuedRequest<T>) {
        requests.remove(request)
        backlogMs = if (requests.isEmpty()) 0.0 else backlogMs - request.costMs
    }
}

internal fun compareStart(
    a: Flow<*>,
    b: Flow<*>,
): Int {
    val byTag = a.startTag.compareTo(b.startTag)
    if (byTag != 0) return byTag
    val byPriority = a.priority.compareTo(b.priority)
    return if (byPriority != 0) byPriority else a.order.compareTo(b.order)
}

internal fun compareBacklog(
    a: Flow<*>,
    b: Flow<*>,
): Int {
    val byBacklog = (b.backlogMs / b.weight).compareTo(a.backlogMs / a.weight)
    return if (byBacklog != 0) byBacklog else a.order.compareTo(b.order)
}

internal fun compareExpiry(
    a: QueuedRequest<*>,
    b: QueuedRequest<*>,
): Int {
    val byExpiry = a.latestStartMs.compareTo(b.latestStartMs)
    return if (byExpiry != 0) byExpiry else a.seq.compareTo(b.seq)
}

internal fun compareUrgency(
    a: QueuedRequest<*>,
    b: QueuedRequest<*>,
): Int {
    val byPriority = a.priority.compareTo(b.priority)
    if (byPriority != 0) return byPriority
    val byDeadline = a.deadlineAtMs.compareTo(b.deadlineAtMs)
    return if (byDeadline != 0) byDeadline else a.seq.compareTo(b.seq)
}
