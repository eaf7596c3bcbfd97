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
    val expired: List<QueuedRequest<T>>,
    /** The request that the full queue gave up, or null. */
    val dropped: QueuedRequest<T>?,
)

/**
 * Start-time fair queueing over workspaces: each gets capacity by its weight, in stage time, and what one leaves unused goes to the others.
 *
 * Within a workspace the lowest priority number goes first, then the earliest deadline. A full queue gives up what is hopeless anyway,
 * else the request with the latest deadline of the workspace with the most waiting stage time by weight.
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
    private val byExpiry = TreeSet<QueuedRequest<T>>(::compareExpiry)
    private val virtualTimeHistory = VirtualTimeHistory()
    private var virtualMs = 0.0
    private var waitingWeight = 0.0
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

    /** Takes the next request that is to run, and all that can no longer be answered in time. */
    fun dequeue(nowMs: Long): QueueResult<T> {
        val expired = expire(nowMs)
        if (byStart.isEmpty()) return QueueResult(null, expired, null)
        val flow = byStart.first()
        val request = flow.requests.first()
        start(flow, request, nowMs)
        return QueueResult(request, expired, null)
    }

    /** Takes out all requests that can no longer be answered in time. */
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

    /** Takes out a request whose caller went away; returns whether it was waiting. */
    fun cancel(request: QueuedRequest<T>): Boolean {
        val flow = flows[request.workspace] ?: return false
        if (request !in flow.requests) return false
        remove(flow, request)
        return true
    }

    /** Corrects the share of [workspace] by the difference between the stage time that a request took and its estimate. */
    fun correctCost(
        workspace: WorkspaceId,
        estimatedMs: Double,
        actualMs: Double,
    ) {
        val flow = flows[workspace] ?: return
        reorder(flow) { it.startTag += (actualMs - estimatedMs) / it.weight }
    }

    /**
     * Returns how long a new request of [workspace] would wait: behind the others of its workspace at that workspace's share, but never
     * longer than behind all.
     *
     * @param slots the number of requests that run side by side
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

    /** Returns the stage time of the waiting requests of each workspace that has any. */
    fun backlogMsByWorkspace(): Map<WorkspaceId, Double> = byBacklog.associate { it.workspace to it.backlogMs }

    private fun start(
        flow: Flow<T>,
        request: QueuedRequest<T>,
        nowMs: Long,
    ) {
        virtualMs = maxOf(virtualMs, flow.startTag)
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

    /** An idle workspace may catch up on what it left unused in the last [VirtualTimeHistory.CREDIT_MS]: a small burst need not wait. */
    private fun startTag(
        flow: Flow<T>,
        nowMs: Long,
    ): Double = if (flow.requests.isEmpty()) maxOf(flow.startTag, virtualTimeHistory.valueBefore(nowMs)) else flow.startTag

    /** Applies [change], which may alter the keys that the two orders sort by. */
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
