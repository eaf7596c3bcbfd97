package io.monsoonpath.policy.retry

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId

/** An action that the user of an [AttemptRace] must execute. */
sealed interface RaceEffect {
    /** Use the answer of [attempt] as the result of the stage. Emitted at most once per race. */
    data class Accept(
        val attempt: AttemptId,
    ) : RaceEffect

    /** Cancel [attempt], which runs on [backend]. */
    data class Cancel(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : RaceEffect

    /** Drop and count the answer or failure of [attempt]: it is late, a duplicate, or not from the server of the attempt. */
    data class Drop(
        val attempt: AttemptId,
    ) : RaceEffect

    /** The last running attempt failed. */
    data class AllFailed(
        val lastFailure: AttemptFailure,
    ) : RaceEffect
}

/**
 * The concurrent attempts of one stage of one request. Not thread-safe.
 *
 * The first answer is accepted. The other attempts are then cancelled, and their answers are dropped.
 */
class AttemptRace {
    private val running = LinkedHashMap<AttemptId, BackendId>()
    private var nextAttempt = 1
    private var decided = false

    /** The number of attempts started so far. */
    val attempts: Int get() = nextAttempt - 1

    /** The backend servers of the running attempts. */
    val runningOn: Collection<BackendId> get() = running.values

    /**
     * Starts an attempt on [backend] and returns its number.
     *
     * @throws IllegalStateException if an answer was accepted or the race was abandoned
     */
    fun start(backend: BackendId): AttemptId {
        check(!decided) { "cannot start an attempt on $backend: the race is decided" }
        val attempt = AttemptId(nextAttempt++)
        running[attempt] = backend
        return attempt
    }

    /** Records the answer of [attempt] from [backend]. */
    fun recordAnswer(
        attempt: AttemptId,
        backend: BackendId,
    ): List<RaceEffect> {
        if (running[attempt] != backend) return listOf(RaceEffect.Drop(attempt))
        running.remove(attempt)
        decided = true
        return listOf(RaceEffect.Accept(attempt)) + cancelAll()
    }

    /** Records the failure of [attempt]; other attempts may still be running. */
    fun recordFailure(
        attempt: AttemptId,
        failure: AttemptFailure,
    ): List<RaceEffect> {
        if (running.remove(attempt) == null) return listOf(RaceEffect.Drop(attempt))
        return if (running.isEmpty()) listOf(RaceEffect.AllFailed(failure)) else emptyList()
    }

    /** Ends the race because the caller disconnected or the deadline can no longer be met. */
    fun abandon(): List<RaceEffect> {
        decided = true
        return cancelAll()
    }

    private fun cancelAll(): List<RaceEffect> {
        val cancels = running.map { (attempt, backend) -> RaceEffect.Cancel(attempt, backend) }
        running.clear()
        return cancels
    }
}
