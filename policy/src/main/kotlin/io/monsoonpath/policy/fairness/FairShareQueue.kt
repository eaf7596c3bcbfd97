package io.monsoonpath.policy.fairness

import io.monsoonpath.model.WorkspaceId
import java.util.TreeSet

/**
 * A waiting request.
 *
 * @property deadlineAtMs when its answer is due
 * @property latestStartMs the time after which it can no longer be answered in time
 * @property costMs the estimated stage time it will take
 * @property priority its priority within the workspace; lower numbers go first
 * @property payload what the caller of the queue attached
 */
class QueuedRequest<T>(
    val workspace: WorkspaceId,
    val deadlineAtMs: Long,
    val latestStartMs: Long,
    val costMs: Double,
    val priority: Int,
    val payload: T,
) {
    internal var seq: Long = 0
}

/** What a call of the queue brought about; empty lists cost nothing. */
class QueueResult<T>(
    /** The request that is to run now, or null. */
    val started: QueuedRequest<T>?,
    /** Requests that can no longer be answered in time. */
    val hopeless: List<QueuedRequest<T>>,
    /** The request that the full queue gave up, or null. */
    val dropped: QueuedRequest<T>?,
)

/**
 * Start-time fair queueing over workspaces: each gets capacity by its weight, in stage time, and what one leaves unused goes to the others.
 *
 * Within a workspace the lowest priority number goes first, then the earliest deadline. A full queue gives up, in this order: a request
 * that is hopeless anyway, else the one with the latest deadline of the workspace with the most waiting stage time by weight.
 * Single-threaded: the caller guards it. Each call takes time logarithmic in the number of waiting workspaces.
 *
 * @param maxQueued the most requests that may wait
 */
class FairShareQueue<T>(
    private val maxQueued: Int,
) {
    private val flows = HashMap<WorkspaceId, Flow<T>>()
    private val byStart = TreeSet<Flow<T>>(::compareStart)
    private val byBacklog = TreeSet<Flow<T>>(::compareBacklog)
    private var virtualMs = 0.0
    private var nextSeq = 0L
    private var nextOrder = 0

    /** The number of waiting requests. */
    var size: Int = 0
        private set

    /** The stage time of all waiting requests. */
    var backlogMs: Double = 0.0
        private set

    /** Sets the weight and the priority of a workspace; its waiting requests keep their places. */
    fun configure(
        workspace: WorkspaceId,
        weight: Double,
        priority: Int = 0,
    ) {
        require(weight > 0) { "weight of $workspace must be positive: $weight" }
        reorder(flow(workspace)) {
            it.weight = weight
            it.priority = priority
        }
    }

    /** Forgets workspaces that are not in [kept], hold nothing and wait for nothing. */
    fun retain(kept: Set<WorkspaceId>) {
        flows.values.removeIf { it.workspace !in kept && it.requests.isEmpty() }
    }

    /** Adds [request]; if the queue is full, one request is dropped, perhaps this one. */
    fun enqueue(
        request: QueuedRequest<T>,
        nowMs: Long,
    ): QueueResult<T> {
        if (nowMs > request.latestStartMs) return QueueResult(null, listOf(request), null)
        request.seq = nextSeq++
        val flow = flow(request.workspace)
        reorder(flow) {
            if (it.requests.isEmpty()) it.startTag = maxOf(it.startTag, virtualMs)
            it.add(request)
        }
        size++
        backlogMs += request.costMs
        if (size <= maxQueued) return none()
        return giveUp(nowMs)
    }

    /** Takes the next request that is to run; hopeless ones before it are taken out too. */
    fun dequeue(nowMs: Long): QueueResult<T> {
        var hopeless: MutableList<QueuedRequest<T>>? = null
        while (byStart.isNotEmpty()) {
            val flow = byStart.first()
            val request = flow.requests.first()
            if (nowMs > request.latestStartMs) {
                remove(flow, request)
                hopeless = (hopeless ?: ArrayList()).also { it.add(request) }
                continue
            }
            start(flow, request)
            return QueueResult(request, hopeless.orEmpty(), null)
        }
        return if (hopeless == null) none() else QueueResult(null, hopeless, null)
    }

    /** Takes out a request whose caller went away; returns whether it was waiting. */
    fun cancel(request: QueuedRequest<T>): Boolean {
        val flow = flows[request.workspace] ?: return false
        if (request !in flow.requests) return false
        remove(flow, request)
        return true
    }

    /** Corrects the share of [workspace] by the difference between the stage time that a request took and its estimate. */
    fun completed(
        workspace: WorkspaceId,
        estimatedMs: Double,
        actualMs: Double,
    ) {
        val flow = flows[workspace] ?: return
        reorder(flow) { it.startTag += (actualMs - estimatedMs) / it.weight }
    }

    /** Returns the stage time of the waiting requests of each workspace that has any. */
    fun backlogMsByWorkspace(): Map<WorkspaceId, Double> = byBacklog.associate { it.workspace to it.backlogMs }

    private fun start(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        virtualMs = maxOf(virtualMs, flow.startTag)
        remove(flow, request)
        reorder(flow) { it.startTag += request.costMs / it.weight }
    }

    private fun giveUp(nowMs: Long): QueueResult<T> {
        val flow = byBacklog.first()
        val hopeless = flow.requests.first().takeIf { nowMs > it.latestStartMs }
        val victim = hopeless ?: flow.requests.last()
        remove(flow, victim)
        return if (hopeless == null) QueueResult(null, emptyList(), victim) else QueueResult(null, listOf(victim), null)
    }

    private fun remove(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        reorder(flow) { it.remove(request) }
        size--
        backlogMs = if (size == 0) 0.0 else backlogMs - request.costMs
    }

    /** Applies [change], which may alter the keys that the two orders sort by. */
    private inline fun reorder(
        flow: Flow<T>,
        change: (Flow<T>) -> Unit,
    ) {
        if (flow.requests.isNotEmpty()) {
            byStart.remove(flow)
            byBacklog.remove(flow)
        }
        change(flow)
        if (flow.requests.isNotEmpty()) {
            byStart.add(flow)
            byBacklog.add(flow)
        }
    }

    private fun flow(workspace: WorkspaceId): Flow<T> = flows.getOrPut(workspace) { Flow(workspace, nextOrder++) }

    private fun none(): QueueResult<T> = QueueResult(null, emptyList(), null)
}

/** The waiting requests of one workspace. */
private class Flow<T>(
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

private fun compareStart(
    a: Flow<*>,
    b: Flow<*>,
): Int {
    val byTag = a.startTag.compareTo(b.startTag)
    if (byTag != 0) return byTag
    val byPriority = a.priority.compareTo(b.priority)
    return if (byPriority != 0) byPriority else a.order.compareTo(b.order)
}

private fun compareBacklog(
    a: Flow<*>,
    b: Flow<*>,
): Int {
    val byBacklog = (b.backlogMs / b.weight).compareTo(a.backlogMs / a.weight)
    return if (byBacklog != 0) byBacklog else a.order.compareTo(b.order)
}

private fun compareUrgency(
    a: QueuedRequest<*>,
    b: QueuedRequest<*>,
): Int {
    val byPriority = a.priority.compareTo(b.priority)
    if (byPriority != 0) return byPriority
    val byDeadline = a.deadlineAtMs.compareTo(b.deadlineAtMs)
    return if (byDeadline != 0) byDeadline else a.seq.compareTo(b.seq)
}
