package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.config.Stage
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** The time limits for the stages of a request. */
data class StageDeadlines(
    /** The latest start of the request's own call that meets the latency target, in milliseconds. */
    val latestCallStartMs: Long,
    /** The time after which results are useless, in milliseconds. */
    val expiresAtMs: Long,
)

/** Locates results and engines, to avoid transferring large results across failure domains. */
interface DataLocality {
    /** The failure domain of the engine that is likely to serve the request, or null if unknown. */
    val callDomain: FailureDomain?

    /** Returns the failure domain of the worker that stores the result [handle], or null if unknown. */
    fun domainOf(handle: String): FailureDomain?
}

/** The outcome of the stages of a request. */
sealed interface StageOutcome {
    /** All stages completed; [handles] identify the results of the last stages. */
    data class Done(
        val handles: List<String>,
    ) : StageOutcome

    /** A piece of [stage] failed. */
    data class Failed(
        val stage: Int,
        val reason: PieceFailure,
    ) : StageOutcome
}

/**
 * Executes the stages of one request, each when all its predecessors are complete.
 *
 * Results are released when all stages that read them are complete, or earlier if all pieces of those stages have started.
 * The caller releases the results of the last stages.
 *
 * @param pieceCounts the number of pieces of each stage, 1 where absent; a stage with 0 pieces is skipped
 * @param rank the rank of the request; 0 is the most urgent
 * @param clock the clock by which the lifetime of results is measured, or null if it is not known
 */
class StageRun(
    private val request: RequestId,
    private val stages: List<Stage>,
    private val pieceCounts: List<Int>,
    private val inputKey: String,
    private val poolOf: (PoolId) -> Pool?,
    private val locality: DataLocality,
    private val deadlines: StageDeadlines,
    private val executor: PieceExecutor,
    private val scheduler: Scheduler,
    private val done: (StageOutcome) -> Unit,
    private val rank: Int = 0,
    private val clock: ClockMs? = null,
) {
    private val handles = Array(stages.size) { arrayOfNulls<String>(countOf(it)) }
    private val remaining = IntArray(stages.size) { countOf(it) }
    private val notStarted = Array(stages.size) { stage -> (0 until countOf(stage)).toMutableSet() }
    private val isStarted = BooleanArray(stages.size)
    private val isReleased = BooleanArray(stages.size)
    private var isFinished = false

    /** When the first result of each stage may no longer exist, in milliseconds. */
    private val existsUntilMs = LongArray(stages.size) { Long.MAX_VALUE }

    /** Announces the pieces of later stages to their pools and starts the stages without predecessors. */
    fun start() {
        for (stage in stages.indices) {
            val count = countOf(stage)
            if (count > 0 && stages[stage].after.isNotEmpty()) announce(stage, count)
        }
        advance()
    }

    private fun announce(
        stage: Int,
        count: Int,
    ) = executor.expect(stages[stage].pool, request, count, latestStartMs(stage), rank)

    /** Cancels the run: removes queued pieces and releases all results. No outcome is reported afterwards. */
    fun cancel() {
        if (!isFinished) {
            isFinished = true
            executor.cancel(request, stages.mapTo(HashSet()) { it.pool })
        }
        stages.indices.forEach(::release)
    }

    private fun countOf(stage: Int) = pieceCounts.getOrElse(stage) { 1 }

    private fun isComplete(stage: Int) = remaining[stage] == 0

    private fun advance() {
        for (stage in stages.indices) {
            if (isFinished) return
            if (!isStarted[stage] && stages[stage].after.all(::isComplete)) startStage(stage)
        }
        if (!isFinished && stages.indices.all(::isComplete)) {
            isFinished = true
            done(StageOutcome.Done(stages.indices.filter(::isLast).flatMap { handles[it].filterNotNull() }))
        }
    }

    private fun startStage(stage: Int) {
        isStarted[stage] = true
        if (countOf(stage) == 0) return
        val inputs = stages[stage].after.flatMap { handles[it].filterNotNull() }
        val input = if (inputs.isEmpty()) PieceInput.Key(inputKey) else PieceInput.Results(inputs)
        val domain = domainOf(stage, inputs)
        val latestStartMs = latestStartMs(stage)
        val inputsUntilMs = stages[stage].after.minOfOrNull { existsUntilMs[it] } ?: Long.MAX_VALUE
        executor.execute(
            List(countOf(stage)) { segment ->
                Piece(
                    PieceId(request, stage, segment),
                    stages[stage].pool,
                    input,
                    stages[stage].resultBytes,
                    domain,
                    latestStartMs = latestStartMs,
                    expiresAtMs = latestStartMs + deadlines.expiresAtMs - deadlines.latestCallStartMs,
                    rank = rank,
                    inputsUntilMs = inputsUntilMs,
                )
            },
            ::handleResult,
        )
    }

    private fun latestStartMs(stage: Int): Long = deadlines.latestCallStartMs - successorsMs(stage) - expectedMs(stage)

    /** Returns the failure domain of most inputs or of the engine, whichever transfers more data, or null if both are small. */
    private fun domainOf(
        stage: Int,
        inputs: List<String>,
    ): FailureDomain? {
        val inputBytes = stages[stage].after.sumOf { countOf(it) * stages[it].resultBytes }
        val outputBytes = if (isLast(stage)) stages[stage].resultBytes else 0
        return when {
            maxOf(inputBytes, outputBytes) < LARGE_TRANSFER_BYTES -> null
            inputBytes >= outputBytes ->
                inputs
                    .mapNotNull(locality::domainOf)
                    .groupingBy { it }
                    .eachCount()
                    .maxByOrNull { it.value }
                    ?.key
            else -> locality.callDomain
        }
    }

    private fun handleResult(
        piece: PieceId,
        result: PieceResult,
    ) {
        when (result) {
            PieceResult.Started -> handleStarted(piece)
            is PieceResult.Completed -> handleCompleted(piece, result.handle)
            is PieceResult.Failed -> fail(piece.stage, result.reason)
        }
    }

    /** Releases inputs once the last piece that reads them has started: waiting for its end would halve the workers' capacity. */
    private fun handleStarted(piece: PieceId) {
        if (isFinished || !notStarted[piece.stage].remove(piece.segment) || notStarted[piece.stage].isNotEmpty()) return
        val inputs = stages[piece.stage].after.filter { input -> successorsOf(input).all { notStarted[it].isEmpty() } }
        scheduler.schedule(START_LATENCY_MS + READ_TIME_FACTOR * inputReadMs(piece.stage)) { inputs.forEach(::release) }
    }

    /** Returns the time in milliseconds in which a worker reads the inputs of a full batch of pieces like those of [stage]. */
    private fun inputReadMs(stage: Int): Long {
        val batching = poolOf(stages[stage].pool)?.batching ?: return 0
        val inputBytes = stages[stage].after.sumOf { countOf(it) * stages[it].resultBytes }
        return batching.maxPieces * inputBytes / batching.linkBytesPerMs
    }

    private fun handleCompleted(
        piece: PieceId,
        handle: String,
    ) {
        if (isFinished) {
            executor.release(stages[piece.stage].pool, listOf(handle))
            return
        }
        if (handles[piece.stage][piece.segment] != null) return
        handles[piece.stage][piece.segment] = handle
        recordLifetime(piece.stage)
        if (--remaining[piece.stage] > 0) return
        stages[piece.stage].after.filter { input -> successorsOf(input).all(::isComplete) }.forEach(::release)
        advance()
    }

    /** Records that a result of [stage] was reported now; the worker has kept it for the latency of the report. */
    private fun recordLifetime(stage: Int) {
        val nowMs = clock?.nowMs() ?: return
        val ttlMs = poolOf(stages[stage].pool)?.batching?.resultTtlMs ?: return
        existsUntilMs[stage] = minOf(existsUntilMs[stage], nowMs + ttlMs - REPORT_LATENCY_MS)
    }

    private fun fail(
        stage: Int,
        reason: PieceFailure,
    ) {
        if (isFinished) return
        cancel()
        done(StageOutcome.Failed(stage, reason))
    }

    private fun release(stage: Int) {
        if (isReleased[stage]) return
        isReleased[stage] = true
        val releasable = handles[stage].filterNotNull()
        if (releasable.isNotEmpty()) executor.release(stages[stage].pool, releasable)
    }

    private fun successorsOf(stage: Int) = stages.indices.filter { stage in stages[it].after }

    private fun isLast(stage: Int) = successorsOf(stage).isEmpty()

    private fun expectedMs(stage: Int): Long {
        val pool = stages[stage].pool
        return expectedStageMs(poolOf(pool), countOf(stage), isPaced = executor.forecast(pool) != null)
    }

    private fun successorsMs(stage: Int): Long = successorsOf(stage).maxOfOrNull { expectedMs(it) + successorsMs(it) } ?: 0

    private companion object {
        /** Below this size, waiting for a worker of the same failure domain costs more than the transfer. */
        const val LARGE_TRANSFER_BYTES = 100_000L

        /** Allows for the latency of the report and of the call, whose worker may be in another failure domain. */
        const val START_LATENCY_MS = 50L

        /** Allows for the report of a result through a busy batching instance, and for the call that reads it. */
        const val REPORT_LATENCY_MS = 150L

        /** Results of one worker may be read by two others at the same time. */
        const val READ_TIME_FACTOR = 2
    }
}

/**
 * Returns the expected duration in milliseconds of a stage with [pieces] in [pool], that of a half-full call, or of a full one if the pool
 * [isPaced]: those pools are busy for long times, in which calls are full.
 */
internal fun expectedStageMs(
    pool: Pool?,
    pieces: Int,
    isPaced: Boolean,
): Long {
    val batching = pool?.batching ?: return 0
    val expectedPieces = if (isPaced) batching.maxPieces.toDouble() else batching.maxPieces / 2.0
    return if (pieces == 0) 0 else (batching.callMs + batching.pieceMs * expectedPieces).toLong()
}
