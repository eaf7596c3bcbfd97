package io.monsoonpath.policy.retry

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId

/** What the caller of an [AttemptRace] has to do. */
sealed interface RaceEffect {
    /** The answer of [attempt] is the stage's result; nothing else ever is. */
    data class Accept(
        val attempt: AttemptId,
    ) : RaceEffect

    /** An attempt that runs on [backend] is to be cancelled. */
    data class Cancel(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : RaceEffect

    /** The answer is late, doubled or foreign, and is to be dropped and counted. */
    data class Drop(
        val attempt: AttemptId,
    ) : RaceEffect

    /** The last running attempt has failed. */
    data class AllFailed(
        val lastFailure: AttemptFailure,
    ) : RaceEffect
}

/** The attempts of one stage of one request: one answer is accepted, the others are cancelled or dropped. Single-threaded. */
class AttemptRace {
    private val running = LinkedHashMap<AttemptId, BackendId>()
    private var nextAttempt = 1
    private var decided = false

    /** The number of attempts so far. */
    val attempts: Int get() = nextAttempt - 1

    /** The servers that attempts are running on. */
    val runningOn: Collection<BackendId> get() = running.values

    /** Starts an attempt on [backend] and returns its number. */
    fun start(backend: BackendId): AttemptId {
        check(!decided) { "the race is decided; no attempt may start on $backend" }
        val attempt = AttemptId(nextAttempt++)
        running[attempt] = backend
        return attempt
    }

    /** Takes the answer of [attempt] from [backend]. */
    fun recordAnswer(
        attempt: AttemptId,
        backend: BackendId,
    ): List<RaceEffect> {
        if (running[attempt] != backend) return listOf(RaceEffect.Drop(attempt))
        running.remove(attempt)
        decided = true
        return listOf(RaceEffect.Accept(attempt)) + cancelAll()
    }

    /** Takes the failure of [attempt]; others may still be running. */
    fun recordFailure(
        attempt: AttemptId,
        failure: AttemptFailure,
    ): List<RaceEffect> {
        if (running.remove(attempt) == null) return listOf(RaceEffect.Drop(attempt))
        return if (running.isEmpty()) listOf(RaceEffect.AllFailed(failure)) else emptyList()
    }

    /** Ends the race: the caller went away or the deadline can no longer be met. */
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
