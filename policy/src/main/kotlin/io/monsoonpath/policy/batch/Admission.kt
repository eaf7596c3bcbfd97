package io.monsoonpath.policy.batch

/**
 * One stage of a request, as input to [decideAdmission].
 *
 * @property predecessors the indices of the stages that must finish before this one starts
 * @property workMs the duration of the stage's call in milliseconds; 0 if the request skips the stage
 * @property waitMs the time that the pool needs for its queued and expected work, in milliseconds
 * @property hasStandingQueue whether such a wait has persisted for long, see [StandingQueueDetector]
 */
data class StageEstimate(
    val predecessors: List<Int>,
    val workMs: Long,
    val waitMs: Long,
    val hasStandingQueue: Boolean = false,
)

/**
 * The outcome of [decideAdmission].
 *
 * @property expectedMs the expected duration of the request in milliseconds
 */
sealed interface AdmissionDecision {
    val expectedMs: Long

    /** The request is expected to meet its target, or no queue delays it. */
    data class Admit(
        override val expectedMs: Long,
    ) : AdmissionDecision

    /**
     * The request is expected to miss its target.
     *
     * @property retryAfterMs the time after which the queues are expected to have shrunk enough, in milliseconds
     */
    data class Refuse(
        override val expectedMs: Long,
        val retryAfterMs: Long,
    ) : AdmissionDecision
}

/**
 * Decides whether to admit a request with stages, by whether it can still meet its target.
 *
 * Load pattern: a burst of one kind of request lasts some seconds, at twice the rate that the stage pools sustain. If all of it is
 * admitted, nearly every request of the burst, and many after it, are late or fail after seconds of waiting, and the work of their
 * stages is wasted. A request that cannot be on time is therefore refused before it has cost anything, with the time after which a
 * retry can succeed. The estimate takes into account that the pools of later stages drain their queues while the first stages run.
 *
 * A less urgent request is admitted only if a longer wait would still fit into its target, so that more urgent requests can be
 * admitted when it no longer is. One request in [RANK_EXEMPT_INTERVAL] is decided without its rank, so that no kind of request and no
 * workspace is starved by others.
 *
 * While a pool has a standing queue, a part of the target is kept free: the shorter queue keeps the workers as busy, and fewer
 * requests are late.
 *
 * If no pool has a queue, the request is admitted even if it will be late, because its work delays no other request.
 *
 * @param targetMs the time within which an answer is on time, in milliseconds
 * @param callMs the duration of the request's own call after its stages, in milliseconds
 * @param rank the rank of the request; 0 is the most urgent
 * @param seed selects the requests that are decided without their rank
 */
fun decideAdmission(
    stages: List<StageEstimate>,
    targetMs: Long,
    callMs: Long,
    rank: Int = 0,
    seed: Int = 0,
): AdmissionDecision {
    val rankSurcharge = if (Math.floorMod(seed, RANK_EXEMPT_INTERVAL) == 0) 0.0 else WAIT_FACTOR_PER_RANK * minOf(rank, MAX_RANK)
    val waitFactor = WAIT_FACTOR + rankSurcharge
    val finishMs = LongArray(stages.size)
    for (i in stages.indices) {
        val stage = stages[i]
        val readyMs = stage.predecessors.maxOfOrNull { finishMs[it] } ?: 0
        finishMs[i] = if (stage.workMs == 0L) readyMs else maxOf(readyMs, (stage.waitMs * waitFactor).toLong()) + stage.workMs
    }
    val expectedMs = (finishMs.maxOrNull() ?: 0) + callMs
    val reserveMs = if (stages.any { it.workMs > 0 && it.hasStandingQueue }) (targetMs * STANDING_QUEUE_RESERVE_SHARE).toLong() else 0
    val overrunMs = expectedMs + reserveMs - targetMs
    val hasWait = stages.any { it.workMs > 0 && it.waitMs > 0 }
    return if (overrunMs <= 0 || !hasWait) AdmissionDecision.Admit(expectedMs) else AdmissionDecision.Refuse(expectedMs, overrunMs)
}

/** A kind of request counts as starved if it is served less than a quarter as often as all requests. */
private const val RANK_EXEMPT_INTERVAL = 4

/**
 * Waits are computed for full batches. Under load, batches are about two thirds full, because results need memory and the pieces
 * of a request stay together.
 */
private const val WAIT_FACTOR = 1.5

/** Added to the wait factor per rank: a difference of two ranks leaves a fifth of the computed wait to the more urgent requests. */
private const val WAIT_FACTOR_PER_RANK = 0.1

/** A standing queue that just fits the target exceeds it by this share: half of a slow call in a chain of three stages. */
private const val STANDING_QUEUE_RESERVE_SHARE = 0.1

/** Higher ranks count as this one; they would add more than the wait itself. */
private const val MAX_RANK = 10
