package io.monsoonpath.policy.room

import io.monsoonpath.model.LruMap
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.fairness.FairShareQueue
import io.monsoonpath.policy.fairness.QueuedRequest
import java.util.TreeMap

/**
 * Decides which requests of one instance run in a pool, which wait, in which order, and which are refused at once.
 *
 * Load pattern: requests of several ranks and some tens of workspaces, a few of them large, arrive for some seconds at twice the rate that
 * the pool sustains. A request starts if a place is free. Otherwise it waits if it is expected to start in time, and is refused if not.
 * The most urgent rank starts first, except that one start in [RESERVED_INTERVAL] belongs to the less urgent ranks in turn; within a
 * rank, places are shared fairly among workspaces.
 *
 * A first request is admitted to the queue only if it would leave part of its slack unused. A request that was refused before may use
 * all of it; it is recognised by [PlaceRequest.claimKey]. The same reserve keeps the requests in the queue on time when more urgent
 * requests or those of smaller workspaces arrive after them.
 *
 * Not thread-safe. A decision takes time logarithmic in the number of waiting workspaces and linear in the number of ranks.
 *
 * @param initialMsPerWork how long a request holds its place for each unit of work, before any was measured, in milliseconds
 */
class PoolAdmission<T>(
    initialMsPerWork: Double,
) {
    private val queues = TreeMap<Int, FairShareQueue<PlaceRequest<T>>>()
    private val urgentLoad = RankLoad()
    private val claims = LruMap<Int, Claim>(MAX_CLAIMS)
    private var startsSinceReserved = 0
    private var lastReservedRank = 0
    private var msPerWork = initialMsPerWork
    private var meanHoldMs = initialMsPerWork
    private var hasMeasuredHold = false
    private var probeCredit = 1.0

    /** The earliest time of the next start, in milliseconds, while the shares of all instances exceed the capacity. */
    var nextStartAtMs = 0L
        private set

    /** The number of requests that hold a place. */
    var running = 0
        private set

    /** The number of requests that wait for a place. */
    val waiting: Int get() = queues.values.sumOf { it.size }

    /** Returns how long a request of the given [work] is expected to hold its place, in milliseconds. */
    fun expectedHoldMs(work: Double): Double = msPerWork * work

    /** Decides on a new [request], and on those that wait. */
    fun offer(
        request: PlaceRequest<T>,
        room: PoolRoom,
        nowMs: Long,
    ): List<PlaceDecision<T>> {
        val decisions = ArrayList(advance(room, nowMs))
        request.arrivedAtMs = nowMs
        val rank = rankOf(request)
        val costMs = expectedHoldMs(request.work)
        val hasClaim = takeClaim(request.claimKey, nowMs)
        val waitMs = expectedWaitMs(request, rank, room, nowMs)
        val slackMs = (request.latestStartMs - nowMs).coerceAtLeast(0)
        if (waitMs > slackMs * usableSlack(request.workspace, rank, hasClaim)) {
            if (mayProbe(room)) {
                probeCredit--
                request.startedAtMs = nowMs
                running++
                decisions += PlaceDecision.Start(request, 0, PlaceReason.BORROWED)
                return decisions
            }
            addClaim(request.claimKey, nowMs)
            decisions += PlaceDecision.Refuse(request, 0, waitMs.toLong(), (waitMs - slackMs).toLong().coerceAtLeast(0))
            return decisions
        }
        urgentLoad.record(rank, costMs, nowMs)
        enqueue(request, rank, costMs, hasClaim, nowMs)?.let { decisions += it }
        decisions += advance(room, nowMs)
        return decisions
    }

    /** Decides on the requests that wait, after a place was released or the room has changed. */
    fun advance(
        room: PoolRoom,
        nowMs: Long,
    ): List<PlaceDecision<T>> {
        if (queues.values.all { it.size == 0 }) return emptyList()
        val decisions = ArrayList<PlaceDecision<T>>()
        while (mayStart(room, nowMs)) {
            val next = nextDue(nowMs) ?: nextByRank(nowMs) ?: break
            if (room.limit <= room.share) delayNextStart(room, nowMs)
            probeCredit = (probeCredit + PROBE_RATIO).coerceAtMost(1.0)
            decisions += start(next, if (running < room.share) PlaceReason.FREE else PlaceReason.BORROWED, nowMs)
        }
        while (running < room.limit + maxOf(MIN_OVERDRAFT, room.share)) {
            decisions += start(nextDue(nowMs) ?: break, PlaceReason.DUE, nowMs)
            delayNextStart(room, nowMs)
        }
        for (queue in queues.values) queue.expire(nowMs).forEach { decisions += refuseQueued(it.payload, nowMs) }
        return decisions
    }

    /**
     * Ends [request], whether it waits or runs. Has no effect if it does neither.
     *
     * @param isComplete whether it ran to its end, so that the time for which it held its place is typical
     */
    fun release(
        request: PlaceRequest<T>,
        isComplete: Boolean,
        nowMs: Long,
    ) {
        request.queued?.let { queues[rankOf(request)]?.cancel(it) }
        request.queued = null
        val startedAtMs = request.startedAtMs ?: return
        request.startedAtMs = null
        running--
        if (isComplete) recordHold((nowMs - startedAtMs).toDouble(), request.work)
    }

    /**
     * Returns [request], which a server has rejected, from its place to the queue. It keeps its place in time and is not refused before its
     * latest start; other requests start only after part of the usual time of a request.
     */
    fun requeue(
        request: PlaceRequest<T>,
        nowMs: Long,
    ): List<PlaceDecision<T>> {
        if (!request.isRunning) return emptyList()
        request.startedAtMs = null
        running--
        val costMs = expectedHoldMs(request.work)
        nextStartAtMs = maxOf(nextStartAtMs, nowMs + (costMs * REJECTION_PAUSE_SHARE).toLong())
        return listOfNotNull(enqueue(request, rankOf(request), costMs, hasClaim = true, nowMs))
    }

    private fun recordHold(
        heldMs: Double,
        work: Double,
    ) {
        val smoothing = if (hasMeasuredHold) HOLD_SMOOTHING else 1.0
        hasMeasuredHold = true
        meanHoldMs += smoothing * (heldMs - meanHoldMs)
        msPerWork += smoothing * (heldMs / work - msPerWork)
    }

    private fun expectedWaitMs(
        request: PlaceRequest<T>,
        rank: Int,
        room: PoolRoom,
        nowMs: Long,
    ): Double {
        if (mayStart(room, nowMs) && waiting == 0) return 0.0
        val holdMs = meanHoldMs
        val moreUrgentMs = queues.headMap(rank).values.sumOf { it.backlogMs }
        val ownRankMs = queues[rank]?.expectedWaitMs(request.workspace, 1, nowMs) ?: 0.0
        val hasLessUrgent = queues.tailMap(rank, false).values.any { it.size > 0 }
        val places = if (room.limit > room.share) room.limit.toDouble() else room.share / room.spread
        val urgentShare = urgentLoad.below(rank, nowMs) / places
        val ownShare = if (hasLessUrgent) 1.0 - 1.0 / RESERVED_INTERVAL else 1.0
        // More urgent requests that arrive during the wait are ahead, too.
        val rate = ownShare * (1.0 - urgentShare.coerceAtMost(1.0 - 1.0 / RESERVED_INTERVAL))
        val firstMs = maxOf(nextStartAtMs - nowMs.toDouble(), holdMs * (running - room.limit + 1).coerceAtLeast(0) / (running + 1))
        return (firstMs + (moreUrgentMs + ownRankMs) / places) / rate
    }

    /** Returns the part of its slack that a request may be expected to wait. */
    private fun usableSlack(
        workspace: WorkspaceId,
        rank: Int,
        hasClaim: Boolean,
    ): Double {
        if (hasClaim) return 1.0
        val queue = queues[rank]
        val isLarge = queue != null && queue.backlogMsOf(workspace) * LARGE_WORKSPACE_DIVISOR > queue.backlogMs
        return if (rank > 0 || isLarge) RESERVED_SLACK else FIRST_SLACK
    }

    private fun enqueue(
        request: PlaceRequest<T>,
        rank: Int,
        costMs: Double,
        hasClaim: Boolean,
        nowMs: Long,
    ): PlaceDecision<T>? {
        val latestStartMs = maxOf(request.latestStartMs, nowMs)
        val queued = QueuedRequest(request.workspace, latestStartMs, latestStartMs, costMs, if (hasClaim) 0 else 1, request)
        request.queued = queued
        val result = queues.getOrPut(rank) { FairShareQueue(MAX_QUEUED_PER_RANK) }.enqueue(queued, nowMs)
        val victim = result.dropped ?: result.expired.firstOrNull() ?: return null
        return refuseQueued(victim.payload, nowMs)
    }

    private fun nextDue(nowMs: Long): QueuedRequest<PlaceRequest<T>>? =
        queues.values.firstNotNullOfOrNull { it.dequeueDue(nowMs + DUE_MARGIN_MS, nowMs) }

    private fun nextByRank(nowMs: Long): QueuedRequest<PlaceRequest<T>>? {
        val first = queues.entries.firstOrNull { it.value.size > 0 } ?: return null
        val lessUrgent = queues.tailMap(first.key, false).filterValues { it.size > 0 }
        if (lessUrgent.isEmpty()) return first.value.dequeue(nowMs).started
        startsSinceReserved++
        if (startsSinceReserved < RESERVED_INTERVAL) return first.value.dequeue(nowMs).started
        startsSinceReserved = 0
        lastReservedRank = lessUrgent.keys.firstOrNull { it > lastReservedRank } ?: lessUrgent.keys.first()
        return lessUrgent.getValue(lastReservedRank).dequeue(nowMs).started
    }

    private fun start(
        queued: QueuedRequest<PlaceRequest<T>>,
        reason: PlaceReason,
        nowMs: Long,
    ): PlaceDecision<T> {
        val request = queued.payload
        request.queued = null
        request.startedAtMs = nowMs
        running++
        return PlaceDecision.Start(request, nowMs - request.arrivedAtMs, reason)
    }

    private fun refuseQueued(
        request: PlaceRequest<T>,
        nowMs: Long,
    ): PlaceDecision<T> {
        request.queued = null
        addClaim(request.claimKey, nowMs)
        val waitMs = meanHoldMs.toLong()
        return PlaceDecision.Refuse(request, nowMs - request.arrivedAtMs, waitMs, waitMs)
    }

    private fun takeClaim(
        key: Int,
        nowMs: Long,
    ): Boolean {
        val claim = claims[key] ?: return false
        claim.count--
        if (claim.count == 0) claims.remove(key)
        return nowMs < claim.expiresAtMs
    }

    private fun addClaim(
        key: Int,
        nowMs: Long,
    ) {
        claims[key] = Claim((claims[key]?.takeIf { nowMs < it.expiresAtMs }?.count ?: 0) + 1, nowMs + CLAIM_VALID_MS)
    }

    private fun rankOf(request: PlaceRequest<T>) = request.rank.coerceIn(0, MAX_RANK)

    /** Whether a request should start rather than be refused because the latest report is too old to tell that the servers are busy. */
    private fun mayProbe(room: PoolRoom): Boolean {
        val holdMs = meanHoldMs
        val isOutdated = room.reportAgeMs == null || room.reportAgeMs > holdMs * PROBE_AGE_HOLDS
        return isOutdated && probeCredit >= 1.0 && running <= room.limit
    }

    private fun mayStart(
        room: PoolRoom,
        nowMs: Long,
    ) = running < room.limit && (room.limit > room.share || nowMs >= nextStartAtMs)

    /** Spaces the starts of this instance, if the shares of all instances exceed the capacity, so that the servers do not reject them. */
    private fun delayNextStart(
        room: PoolRoom,
        nowMs: Long,
    ) {
        val holdMs = meanHoldMs
        if (room.spread > 1.0) nextStartAtMs = maxOf(nextStartAtMs, nowMs) + (holdMs * room.spread / room.share).toLong()
    }

    private class Claim(
        var count: Int,
        val expiresAtMs: Long,
    )

    private companion object {
        /** One start in this many belongs to the less urgent ranks: a kind served a quarter as often as the others counts as starved. */
        const val RESERVED_INTERVAL = 4

        /** Higher ranks share one queue, which bounds the cost of a decision. */
        const val MAX_RANK = 15
        const val MAX_QUEUED_PER_RANK = 256

        /** A timer checks the queue every 25 ms. */
        const val DUE_MARGIN_MS = 30L

        /** The starts at the latest start beyond the limit; the next starts are delayed for them, so they add no load in the end. */
        const val MIN_OVERDRAFT = 8

        /** The requests that are started instead of refused, for each start, to learn whether the servers are still busy. */
        const val PROBE_RATIO = 0.1

        /** After this many usual times of a request, the servers may have become idle. */
        const val PROBE_AGE_HOLDS = 1.0

        /** A full server has released a place by then. */
        const val REJECTION_PAUSE_SHARE = 0.25
        const val HOLD_SMOOTHING = 0.05

        /** The part of its slack that a first request of the most urgent rank may be expected to wait. */
        const val FIRST_SLACK = 0.8

        /** The same for those that later requests may overtake. */
        const val RESERVED_SLACK = 0.45

        /** A workspace counts as large in a queue if more than a quarter of the backlog is its own. */
        const val LARGE_WORKSPACE_DIVISOR = 4
        const val MAX_CLAIMS = 1_024

        /** Callers retry once, within a third of their time; the longest deadlines are 15 s. */
        const val CLAIM_VALID_MS = 5_000L
    }
}
