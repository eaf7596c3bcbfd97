package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.config.BatchLimits
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.policy.batch.BatchQueue
import io.monsoonpath.policy.batch.PieceThroughput
import io.monsoonpath.policy.batch.QueuedPiece

/** Sends batch calls to workers of stage pools. */
interface BatchSender {
    /**
     * Executes [pieces] on [worker]. Calls [onSent] when the call is written, and passes the outcome to [done], with results in the order
     * of [pieces].
     */
    fun execute(
        worker: BackendServer,
        pieces: List<Piece>,
        timeoutMs: Long,
        onSent: () -> Unit,
        done: (BatchOutcome) -> Unit,
    )

    /** Returns the worker that stores the result [handle], or null if it is no longer in the directory. */
    fun workerOf(handle: String): BackendServer?

    /** Asks [worker] to release the results identified by [handles]. */
    fun release(
        worker: BackendServer,
        handles: List<String>,
    )
}

/** The outcome of one batch call. */
sealed interface BatchOutcome {
    /** The worker returned a result for each piece. */
    data class Answered(
        val results: List<PieceResult>,
    ) : BatchOutcome

    /** The worker rejected the whole call without executing it. */
    data object Rejected : BatchOutcome

    /** No usable response was received; [detail] describes the failure. */
    data class Lost(
        val detail: String,
    ) : BatchOutcome
}

/**
 * What the workers of one pool state of their pace.
 *
 * @property isPaced returns whether a worker has stated a pace; the pool is then filled by rank and by pace
 * @property factorOf returns how much longer than usual a call to a worker takes at a time in milliseconds
 */
internal class WorkerPaces(
    val isPaced: () -> Boolean,
    val factorOf: (worker: BackendServer, nowMs: Long) -> Double,
) {
    companion object {
        /** The workers of a pool that states no pace. */
        val NONE = WorkerPaces({ false }, { _, _ -> 1.0 })
    }
}

/** Batches the pieces of one pool and distributes them over its workers. Confined to the event loop. */
internal class PoolBatcher(
    private val pool: PoolId,
    private val limits: () -> BatchLimits?,
    private val directory: BackendDirectory,
    private val gate: BackendGate,
    private val sender: BatchSender,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val isSoleBatcher: () -> Boolean,
    private val log: DecisionLog,
    private val paces: WorkerPaces = WorkerPaces.NONE,
    private val metrics: GatewayMetrics = GatewayMetrics(),
) {
    private class PendingPiece(
        val piece: Piece,
        val done: (PieceId, PieceResult) -> Unit,
    ) {
        var attempts = 0

        /** Whether the start of a call was reported, after which the request releases the inputs. */
        var isStartReported = false
    }

    private val queue = BatchQueue<PendingPiece>(minDomainWaitMs = DOMAIN_WAIT_MS)
    private val workers = HashMap<BackendId, WorkerLoad>()
    private val throughput = PieceThroughput()

    /** When the next [dispatch] for a worker that the gate lets return is scheduled. */
    private var nextReturnAtMs = Long.MAX_VALUE

    fun add(
        pieces: List<Piece>,
        done: (PieceId, PieceResult) -> Unit,
    ) {
        val queued = pieces.map { queuedOf(PendingPiece(it, done)) }
        queued.forEach(queue::add)
        dispatch()
        queued.filter { it.preferredDomain != null }.maxOfOrNull(queue::domainWaitMs)?.let { scheduler.schedule(it, ::dispatch) }
    }

    /** Counts [count] pieces of [request] towards the backlog until they are added. */
    fun expect(
        request: RequestId,
        count: Int,
        latestStartMs: Long,
        rank: Int = 0,
    ) = queue.addExpected(request.value, count, latestStartMs, rank, clock.nowMs())

    fun cancel(request: RequestId) {
        queue.removeRequest(request.value)
    }

    /**
     * Releases the results identified by [handles]. Those of removed workers no longer exist and are skipped, as are those of workers that
     * want no requests, which expire.
     */
    fun release(handles: List<String>) {
        for ((worker, workerHandles) in handles.groupBy(sender::workerOf)) {
            if (worker == null || !gate.isAvailable(worker, clock.nowMs())) continue
            workerHandles.forEach { workers[worker.id]?.removeResult(it) }
            sender.release(worker, workerHandles)
        }
        dispatch()
    }

    /** Returns the time in milliseconds that the workers need for queued and expected pieces that can still start in time. */
    fun backlogMs(): Long = unavailableMs() ?: (queue.backlog(clock.nowMs()) * pieceWorkMs() / parallelCalls()).toLong()

    /** Returns what a new piece of each rank can expect. */
    fun forecast(): PoolForecast {
        val nowMs = clock.nowMs()
        val waitsByRankMs = unavailableMs()?.let(::listOf) ?: queue.waitsByRank(nowMs, rankedMsPerPiece(nowMs))
        return PoolForecast(waitsByRankMs)
    }

    private fun rankedMsPerPiece(nowMs: Long): Double = maxOf(pieceWorkMs() / parallelCalls(), throughput.msPerPiece(nowMs) ?: 0.0)

    /** Returns the time in milliseconds until a worker is available, or null if one is. */
    private fun unavailableMs(): Long? {
        limits() ?: return 0
        val nowMs = clock.nowMs()
        val listed = directory.usable(pool)
        if (listed.isEmpty()) return if (queue.size == 0) 0 else NO_WORKER_BACKLOG_MS
        if (listed.any { gate.isAvailable(it, nowMs) }) return null
        return gate.earliestAvailableAtMs(listed, nowMs)?.minus(nowMs) ?: NO_WORKER_BACKLOG_MS
    }

    /** Returns the part of a full call that each of its pieces takes, in milliseconds. */
    private fun pieceWorkMs(): Double = limits()?.let { it.callMs / it.maxPieces + it.pieceMs } ?: 0.0

    /** Returns how many calls the available workers process at a time, in calls of usual duration. */
    private fun parallelCalls(): Double {
        val nowMs = clock.nowMs()
        val available = directory.usable(pool).filter { gate.isAvailable(it, nowMs) }
        val workerCount = if (paces.isPaced()) available.sumOf { 1 / paceOf(it, nowMs) } else available.size.toDouble()
        return workerCount * (limits()?.slots ?: 1)
    }

    private fun paceOf(
        worker: BackendServer,
        nowMs: Long,
    ): Double = if (paces.isPaced()) paces.factorOf(worker, nowMs) else 1.0

    /** Fails late pieces and sends queued ones to free workers, fastest first. */
    fun dispatch() {
        val limits = limits() ?: return
        val nowMs = clock.nowMs()
        val listed = directory.usable(pool)
        val (usable, withheld) = listed.partition { gate.isAvailable(it, nowMs) }
        // If no worker is available, pieces that would be late when the first one is again are late already.
        val isAnyAvailable = usable.isNotEmpty() || withheld.isEmpty()
        val nextStartMs = if (isAnyAvailable) nowMs else gate.earliestAvailableAtMs(withheld, nowMs) ?: Long.MAX_VALUE
        val dropped = queue.removeExpired(nextStartMs) + queue.removeStarved(nowMs, STARVATION_MS, usable.size * limits.maxPieces)
        dropped.forEach { fail(it.item, PieceFailure.LATE) }
        queue.isRanked = paces.isPaced()
        if (queue.isRanked) queue.removeWithoutInputs(nowMs).forEach { fail(it.item, PieceFailure.INPUT_GONE) }
        workers.keys.retainAll { directory[it] != null }
        usable
            .map { it to workers.getOrPut(it.id) { WorkerLoad() } }
            .filter { (_, load) -> load.isFree(nowMs, limits.slots) }
            .sortedBy { (worker, load) -> load.slowness * paceOf(worker, nowMs) }
            .forEach { (worker, load) -> sendBatch(worker, load, limits, nowMs) }
        throughput.recordQueue(queue.countOnTime(nowMs) > 0, nowMs)
        scheduleReturn(withheld, nowMs)
    }

    /** Schedules a [dispatch] for the time at which the first of the [withheld] workers is available again. */
    private fun scheduleReturn(
        withheld: List<BackendServer>,
        nowMs: Long,
    ) {
        val returnsAtMs = gate.earliestAvailableAtMs(withheld, nowMs) ?: return
        if (queue.size == 0 || returnsAtMs >= nextReturnAtMs) return
        nextReturnAtMs = returnsAtMs
        scheduler.schedule(returnsAtMs - nowMs) {
            nextReturnAtMs = Long.MAX_VALUE
            dispatch()
        }
    }

    private fun sendBatch(
        worker: BackendServer,
        load: WorkerLoad,
        limits: BatchLimits,
        nowMs: Long,
    ) {
        val capacityBytes = (limits.resultMemoryBytes * load.usableMemoryShare).toLong()
        val isPaced = paces.isPaced()
        val freeBytes = capacityBytes - if (isPaced) load.committedBytes(nowMs) else load.storedBytes(nowMs)
        val pace = paceOf(worker, nowMs)
        val extraMs = if (isPaced) extraMsOf(pace, limits, nowMs) else 0
        val batch =
            queue.takeBatch(nowMs, limits.maxPieces, freeBytes, worker.failureDomain.value, capacityBytes, extraMs).map { it.item }
        if (batch.isEmpty()) return
        throughput.recordTaken(batch.size, nowMs)
        val expectedMs = ((limits.callMs + batch.size * limits.pieceMs) * pace).toLong()
        val resultBytes = batch.sumOf { it.piece.resultBytes }
        load.recordStart()
        load.reserve(resultBytes)
        log.line(
            "batch.sent",
            "pool" to pool,
            "backend" to worker.id,
            "pieces" to batch.size,
            "ofOtherDomains" to batch.count { it.piece.domain != null && it.piece.domain != worker.failureDomain },
            "queued" to queue.size,
            "pace" to if (isPaced) pace else null,
            "ranks" to if (isPaced) batch.groupingBy { it.piece.rank }.eachCount().toSortedMap() else null,
            "freeBytes" to if (isPaced) freeBytes - resultBytes else null,
        )
        val timeoutMs = expectedMs * TIMEOUT_FACTOR + TIMEOUT_EXTRA_MS
        var isInProgress = true
        sender.execute(worker, batch.map { it.piece }, timeoutMs, onSent = { reportStart(batch, load) { isInProgress } }) { outcome ->
            isInProgress = false
            load.recordEnd()
            load.endReservation(resultBytes)
            val tookMs = (clock.nowMs() - nowMs).toDouble()
            handleOutcome(worker, load, batch, outcome, limits, tookMs / expectedMs)
            dispatch()
        }
    }

    /** Returns how much longer a full call takes on a worker with [pace] than on the fastest one, in milliseconds. */
    private fun extraMsOf(
        pace: Double,
        limits: BatchLimits,
        nowMs: Long,
    ): Long {
        val leastPace = directory.usable(pool).filter { gate.isAvailable(it, nowMs) }.minOfOrNull { paceOf(it, nowMs) } ?: pace
        return ((limits.callMs + limits.pieceMs * limits.maxPieces) * (pace - maxOf(1.0, leastPace)).coerceAtLeast(0.0)).toLong()
    }

    /**
     * Reports that a worker begins to read the inputs of [batch]. Reported when the call is written: a busy instance may come to that later
     * than the time after which the inputs are released.
     *
     * Pieces that the worker refuses need their inputs again. So in paced pools, the report waits for an early refusal, and there is none
     * if the worker has refused work because of load that this instance does not know, as after the loss of the former batching instance.
     */
    private fun reportStart(
        batch: List<PendingPiece>,
        load: WorkerLoad,
        isInProgress: () -> Boolean,
    ) {
        // With calls from other instances, a worker may queue this call and read its inputs later.
        if (!isSoleBatcher()) return
        val reading = batch.filter { it.piece.input is PieceInput.Results }
        when {
            reading.isEmpty() -> Unit
            !paces.isPaced() -> reading.forEach { it.done(it.piece.id, PieceResult.Started) }
            !load.hasOtherLoad(clock.nowMs()) ->
                scheduler.schedule(REFUSAL_LATENCY_MS) {
                    if (isInProgress()) reportStart(reading)
                }
        }
    }

    /** Reports the start of [reading], except for requests with a queued piece whose start was reported: it needs the inputs again. */
    private fun reportStart(reading: List<PendingPiece>) {
        val restarted = queue.items().filter { it.isStartReported }.mapTo(HashSet()) { it.piece.id.request }
        for (pending in reading) {
            if (pending.piece.id.request in restarted) continue
            pending.isStartReported = true
            pending.done(pending.piece.id, PieceResult.Started)
        }
    }

    private fun handleOutcome(
        worker: BackendServer,
        load: WorkerLoad,
        batch: List<PendingPiece>,
        outcome: BatchOutcome,
        limits: BatchLimits,
        slowness: Double,
    ) {
        val nowMs = clock.nowMs()
        when (outcome) {
            is BatchOutcome.Answered -> {
                load.recordSlowness(slowness)
                val noRoomCount = outcome.results.count { it is PieceResult.Failed && it.reason == PieceFailure.NO_ROOM }
                load.recordFit(fitted = noRoomCount == 0)
                if (noRoomCount > 0) {
                    log.line(
                        "batch.no-room",
                        "pool" to pool,
                        "backend" to worker.id,
                        "pieces" to noRoomCount,
                        "share" to load.usableMemoryShare,
                    )
                }
                if (noRoomCount > 0) load.recordOtherLoad(nowMs + limits.resultTtlMs)
                if (noRoomCount == batch.size) load.pauseUntil(nowMs + REJECTED_PAUSE_MS)
                batch.zip(outcome.results).forEach { (pending, result) ->
                    if (result is PieceResult.Completed) {
                        load.addResult(
                            result.handle,
                            pending.piece.resultBytes,
                            nowMs + limits.resultTtlMs,
                        )
                    }
                    handleResult(pending, result)
                }
            }
            is BatchOutcome.Rejected -> {
                load.pauseUntil(nowMs + REJECTED_PAUSE_MS)
                load.recordOtherLoad(nowMs + limits.resultTtlMs)
                batch.forEach(::enqueue)
            }
            is BatchOutcome.Lost -> {
                log.line("batch.lost", "pool" to pool, "backend" to worker.id, "step" to outcome.detail, "pieces" to batch.size)
                load.pauseUntil(nowMs + LOST_PAUSE_MS)
                batch.forEach { handleResult(it, PieceResult.Failed(PieceFailure.WORKER_FAILED)) }
            }
        }
        scheduler.schedule(REJECTED_PAUSE_MS) { dispatch() }
    }

    private fun handleResult(
        pending: PendingPiece,
        result: PieceResult,
    ) {
        if (result is PieceResult.Failed && result.reason == PieceFailure.WORKER_FAILED) pending.attempts++
        val mayRetry = result is PieceResult.Failed && result.reason.isRetryable && pending.attempts < MAX_ATTEMPTS
        when {
            mayRetry && isInputReleased(pending) -> fail(pending, PieceFailure.INPUT_GONE)
            mayRetry -> enqueue(pending)
            result is PieceResult.Failed -> fail(pending, result.reason)
            else -> pending.done(pending.piece.id, result)
        }
    }

    /**
     * Returns whether the request of [pending], in a paced pool, has released the inputs or is about to: the start of all its pieces was
     * reported. Another call would end with pieces whose inputs are gone.
     */
    private fun isInputReleased(pending: PendingPiece) =
        pending.isStartReported &&
            queue.items().none { it.done == pending.done && it.piece.id.request == pending.piece.id.request && !it.isStartReported }

    /**
     * Reports that [pending] failed. Its request cannot use its other pieces then, so those of a paced pool are withdrawn at once.
     *
     * The request may have started its stages again. The pieces of that run have another listener and stay.
     */
    private fun fail(
        pending: PendingPiece,
        reason: PieceFailure,
    ) {
        metrics.pieceFailed(pool.value, reason.name)
        if (paces.isPaced()) queue.removeItems { it.done == pending.done && it.piece.id.request == pending.piece.id.request }
        pending.done(pending.piece.id, PieceResult.Failed(reason))
    }

    private fun enqueue(pending: PendingPiece) = queue.add(queuedOf(pending))

    private fun queuedOf(pending: PendingPiece): QueuedPiece<PendingPiece> {
        val piece = pending.piece
        return QueuedPiece(
            pending,
            piece.id.request.value,
            piece.latestStartMs,
            piece.expiresAtMs,
            piece.resultBytes,
            piece.domain?.value,
            clock.nowMs(),
            piece.rank,
            isFirstStage = piece.input is PieceInput.Key,
            piece.inputsUntilMs,
        )
    }

    private companion object {
        /** Times out a call at this multiple of its expected duration; slow workers need four or five times as long. */
        const val TIMEOUT_FACTOR = 6
        const val TIMEOUT_EXTRA_MS = 300L

        /** About half the duration of a call, after which the worker has a free slot. */
        const val REJECTED_PAUSE_MS = 120L

        /** Allows for the round trip to a worker in another failure domain that refuses a call at once, and for a busy instance. */
        const val REFUSAL_LATENCY_MS = 40L

        /** A crashed worker is removed from the directory after a few seconds; until then it is retried once a second. */
        const val LOST_PAUSE_MS = 1_000L
        const val MAX_ATTEMPTS = 3

        /** The latest start assumes a half-full call, so some requests whose pieces start this much later are still on time. */
        const val STARVATION_MS = 300L

        /** A pool without workers takes seconds to recover, if it does. */
        const val NO_WORKER_BACKLOG_MS = 2_000L

        /** A third of a call; a longer wait costs more than transferring results across failure domains. */
        const val DOMAIN_WAIT_MS = 120L
    }
}
