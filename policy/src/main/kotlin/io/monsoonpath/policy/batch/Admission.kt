package io.monsoonpath.policy.batch

/**
 * One stage of a request as admission sees it.
 *
 * @property predecessors the numbers of the stages that it follows
 * @property workMs how long a call for it takes, in milliseconds; 0 if the request leaves the stage out
 * @property waitMs how long the pool needs for what waits there or is on its way there, in milliseconds
 * @property hasStandingQueue whether the pool has had such a wait for long: see [StandingQueueDetector]
 */
data class StageEstimate(
    val predecessors: List<Int>,
    val workMs: Long,
    val waitMs: Long,
    val hasStandingQueue: Boolean = false,
)

/**
 * Whether a request is taken in.
 *
 * @property expectedMs how long the request is expected to take
 */
sealed interface AdmissionDecision {
    val expectedMs: Long

    /** The request can be on time, or nothing stands in its way. */
    data class Admit(
        override val expectedMs: Long,
    ) : AdmissionDecision

    /**
     * The request can't be on time.
     *
     * @property retryAfterMs when the wait that stands in its way has passed
     */
    data class Refuse(
        override val expectedMs: Long,
        val retryAfterMs: Long,
    ) : AdmissionDecision
}

/**
 * Decides whether a request with stages can still be on time.
 *
 * Load pattern: a burst of one kind of request for some seconds, at twice what the stage pools bear. Taking all of it in makes nearly
 * every request of the burst, and many after it, late or lost after seconds of waiting, and their stages' work is wasted. A request that
 * can't be on time is refused before it has cost anything, and told to come back when the backlog is worked off. While its first stages
 * run, the pools of the later ones work off what is before it there.
 *
 * A less urgent request must leave a part of its slack to the wait, so that those that are more urgent still find room when it is refused.
 * One in [RANK_EXEMPT_INTERVAL] is judged as the most urgent are: no kind of request and no workspace starves behind others.
 *
 * Where a wait has stood for long, a part of the target stays free: the queue is then as useful and less of it comes late.
 *
 * Where nothing waits the request is taken in, even if it will be late: its work is in nobody's way.
 *
 * @param targetMs the time within which an answer is on time, in milliseconds
 * @param callMs what the request's own call takes after its stages, in milliseconds
 * @param rank the request's rank, from 0, which is the most urgent
 * @param seed picks the requests that are judged without their rank
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

/** A kind of request is starved if it is served less than a quarter as often as all. */
private const val RANK_EXEMPT_INTERVAL = 4

/** Backlogs are told for full calls; under load calls are about two thirds full, since results need room and requests stay together. */
private const val WAIT_FACTOR = 1.5

/** How much longer a wait counts for each rank: two ranks leave the more urgent a fifth of the told wait. */
private const val WAIT_FACTOR_PER_RANK = 0.1

/** What a queue that stands at the edge of the target is late by: half of a slow call in a chain of three. */
private const val STANDING_QUEUE_RESERVE_SHARE = 0.1

/** Ranks beyond this count as this: their waits would count more than twice. */
private const val MAX_RANK = 10
