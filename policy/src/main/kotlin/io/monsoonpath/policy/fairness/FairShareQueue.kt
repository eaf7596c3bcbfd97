package io.monsoonpath.policy.fairness

import io.monsoonpath.model.WorkspaceId
import java.util.TreeSet

/**
 * A request that waits in a [FairShareQueue].
 *
 * @property deadlineAtMs the time by which the request must be answered
 * @property latestStartMs the latest start time at which the request can still meet its deadline
 * @property costMs the estimated stage time of the request
 * @property priority the priority within the workspace; lower numbers start first
 * @property payload the object that the user of the queue attached
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

/** The outcome of a call to a [FairShareQueue]. */
class QueueResult<T>(
    /** The request to run now, or null. */
    val started: QueuedRequest<T>?,
    /** The requests that can no longer meet their deadline. The queue does not hold them any more. */
    val expired: List<QueuedRequest<T>>,
    /** The request that was removed because the queue was full, or null. */
    val dropped: QueuedRequest<T>?,
)

/**
 * A queue that shares capacity, measured in stage time, between workspaces by start-time fair queueing.
 *
 * Each workspace gets a share in proportion to its weight; shares that a workspace leaves unused go to the others. Within a workspace,
 * requests start by the lowest priority number, then by the earliest deadline. A full queue drops the requests that can no longer meet
 * their deadline. If there are none, it drops the last request in that order of the workspace with the largest backlog per weight.
 *
 * Not thread-safe: the caller synchronizes. Each call takes time logarithmic in the number of waiting workspaces.
 *
 * @param maxQueued the maximum number of queued requests
 */
class FairShareQueue<T>(
    private val maxQueued: Int,
) {
    private val flows = HashMap<WorkspaceId, Flow<T>>()
    private val byStart = TreeSet<Flow<T>>(::compareStart)
    private val byBacklog = TreeSet<Flow<T>>(::compareBacklog)
    private val byExpiry = TreeSet<QueuedRequest<T>>(::compareExpiry)
    private val virtualTimeHistory = VirtualTimeHistory()
    private var virtualMs = 0.0
    private var waitingWeight = 0.0
    private var nextSeq = 0L
    private var nextOrder = 0

    /** The number of queued requests. */
    var size: Int = 0
        private set

    /** The estimated stage time of all queued requests. */
    var backlogMs: Double = 0.0
        private set

    /**
     * Sets the weight and the priority of a workspace. Its queued requests keep their order.
     *
     * @param weight the share of the workspace relative to the others; must be positive
     * @param priority breaks ties between workspaces; lower numbers start first
     */
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

    /** Removes all workspaces that are not in [kept] and have no queued requests. */
    fun retain(kept: Set<WorkspaceId>) {
        flows.values.removeIf { it.workspace !in kept && it.requests.isEmpty() }
    }

    /** Adds [request]. If the queue is full, removes the expired requests or else one request, which may be [request] itself. */
    fun enqueue(
        request: QueuedRequest<T>,
        nowMs: Long,
    ): QueueResult<T> {
        if (nowMs > request.latestStartMs) return QueueResult(null, listOf(request), null)
        request.seq = nextSeq++
        val flow = flow(request.workspace)
        reorder(flow) {
            it.startTag = startTag(it, nowMs)
            it.add(request)
        }
        size++
        byExpiry.add(request)
        backlogMs += request.costMs
        if (size <= maxQueued) return QueueResult(null, emptyList(), null)
        val expired = expire(nowMs)
        if (expired.isNotEmpty()) return QueueResult(null, expired, null)
        val longest = byBacklog.first()
        val victim = longest.requests.last()
        remove(longest, victim)
        return QueueResult(null, emptyList(), victim)
    }

    /** Removes the expired requests and then the next request to run. */
    fun dequeue(nowMs: Long): QueueResult<T> {
        val expired = expire(nowMs)
        if (byStart.isEmpty()) return QueueResult(null, expired, null)
        val flow = byStart.first()
        val request = flow.requests.first()
        start(flow, request, nowMs)
        return QueueResult(request, expired, null)
    }

    /** Removes and returns the request with the earliest latest start if that is before [beforeMs], or null. */
    fun dequeueDue(
        beforeMs: Long,
        nowMs: Long,
    ): QueuedRequest<T>? {
        val request = byExpiry.firstOrNull()?.takeIf { it.latestStartMs < beforeMs } ?: return null
        start(flow(request.workspace), request, nowMs)
        return request
    }

    /** Removes and returns all requests that can no longer meet their deadline. */
    fun expire(nowMs: Long): List<QueuedRequest<T>> {
        if (byExpiry.isEmpty() || byExpiry.first().latestStartMs >= nowMs) return emptyList()
        val expired = ArrayList<QueuedRequest<T>>()
        while (byExpiry.isNotEmpty() && byExpiry.first().latestStartMs < nowMs) {
            val request = byExpiry.first()
            remove(flow(request.workspace), request)
            expired += request
        }
        return expired
    }

    /** Removes a request that its caller cancelled; returns whether it was queued. */
    fun cancel(request: QueuedRequest<T>): Boolean {
        val flow = flows[request.workspace] ?: return false
        if (request !in flow.requests) return false
        remove(flow, request)
        return true
    }

    /** Charges [workspace] for the difference between the actual stage time of a completed request and its estimate. */
    fun correctCost(
        workspace: WorkspaceId,
        estimatedMs: Double,
        actualMs: Double,
    ) {
        val flow = flows[workspace] ?: return
        reorder(flow) { it.startTag += (actualMs - estimatedMs) / it.weight }
    }

    /**
     * Estimates the wait of a new request of [workspace] in milliseconds.
     *
     * The request waits for the backlog of its workspace, which is served at the workspace's share, but never longer than for the backlog
     * of the whole queue.
     *
     * @param slots the number of requests that run concurrently
     */
    fun expectedWaitMs(
        workspace: WorkspaceId,
        slots: Int,
        nowMs: Long,
    ): Double {
        if (size == 0) return 0.0
        val flow = flow(workspace)
        val activeWeight = if (flow.requests.isEmpty()) waitingWeight + flow.weight else waitingWeight
        val startTag = startTag(flow, nowMs) + flow.backlogMs / flow.weight
        val ownMs = (startTag - virtualMs).coerceAtLeast(0.0) * activeWeight
        return minOf(ownMs, backlogMs) / slots
    }

    /** Returns the estimated stage time of the queued requests of [workspace]. */
    fun backlogMsOf(workspace: WorkspaceId): Double = flows[workspace]?.backlogMs ?: 0.0

    /** Returns the estimated stage time of the queued requests, for each workspace that has any. */
    fun backlogMsByWorkspace(): Map<WorkspaceId, Double> = byBacklog.associate { it.workspace to it.backlogMs }

    private fun start(
        flow: Flow<T>,
        request: QueuedRequest<T>,
        nowMs: Long,
    ) {
        // A request that starts out of turn must not advance the virtual time past those that wait.
        if (flow === byStart.first()) virtualMs = maxOf(virtualMs, flow.startTag)
        virtualTimeHistory.record(nowMs, virtualMs)
        remove(flow, request)
        reorder(flow) { it.startTag += request.costMs / it.weight }
    }

    private fun remove(
        flow: Flow<T>,
        request: QueuedRequest<T>,
    ) {
        reorder(flow) { it.remove(request) }
        size--
        byExpiry.remove(request)
        backlogMs = if (size == 0) 0.0 else backlogMs - request.costMs
    }

    /**
     * Returns the start tag for the next request of [flow]. An idle workspace gets credit for the share that it left unused in the last
     * [VirtualTimeHistory.CREDIT_MS], so that a small burst does not have to wait.
     */
    private fun startTag(
        flow: Flow<T>,
        nowMs: Long,
    ): Double = if (flow.requests.isEmpty()) maxOf(flow.startTag, virtualTimeHistory.valueBefore(nowMs)) else flow.startTag

    /** Applies [change] to [flow] outside the sorted sets, because [change] may modify their sort keys. */
    private inline fun reorder(
        flow: Flow<T>,
        change: (Flow<T>) -> Unit,
    ) {
        if (flow.requests.isNotEmpty()) {
            byStart.remove(flow)
            byBacklog.remove(flow)
            waitingWeight -= flow.weight
        }
        change(flow)
        if (flow.requests.isNotEmpty()) {
            byStart.add(flow)
            byBacklog.add(flow)
            waitingWeight += flow.weight
        }
        if (byStart.isEmpty()) waitingWeight = 0.0
    }

    private fun flow(workspace: WorkspaceId): Flow<T> = flows.getOrPut(workspace) { Flow(workspace, nextOrder++) }
}
