package io.monsoonpath.app.request

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step

/** What differs between a stage that answers as a whole and one that streams tokens. */
internal interface StageMode {
    /** The first token that is still wanted; 0 where the answer is whole. */
    val nextToken: Long

    /** Returns where the next attempt goes, to none of [excluded]. */
    fun choose(excluded: Set<BackendId>): Outcome<ResumePoint>

    /** Sends one attempt. */
    suspend fun send(call: StageCall): SendResult

    /** Returns the answer that [result] completes, or null if it completes none. */
    fun answerOrNull(result: SendResult): Answer?
}

/**
 * Runs one stage of a request: chooses a backend server, and tries another one where that is allowed.
 *
 * A call that may have reached a backend server is repeated only if its stage is idempotent, and only under the retry budget.
 */
internal class StageRunner(
    private val clock: ClockMs,
    private val metrics: RequestMetrics,
    private val retries: RetryBudget,
    private val attempts: AttemptRunner,
) {
    private class Tries {
        val excluded = HashSet<BackendId>()
        var sends = 0
        var failure: Refusal? = null

        fun end(otherwise: Outcome.Refused): Outcome.Refused = failure?.let { Outcome.Refused(it) } ?: otherwise
    }

    /** Runs [run] in its [mode] to its answer. */
    suspend fun run(
        run: StageRun,
        mode: StageMode,
    ): Outcome<Answer> {
        val tries = Tries()
        retries.earn(run.stage)
        while (true) {
            val point =
                when (val chosen = mode.choose(tries.excluded)) {
                    is Outcome.Refused -> return tries.end(chosen)
                    is Outcome.Ok -> chosen.value
                }
            val call = callOf(run, tries.sends + 1, point, mode.nextToken) ?: return tries.end(OUT_OF_TIME)
            attempt(call, mode, tries)?.let { return it }
        }
    }

    private fun callOf(
        run: StageRun,
        attempt: Int,
        point: ResumePoint,
        nextToken: Long,
    ): StageCall? {
        val budgetMs = run.endAtMs - clock.nowMs()
        if (budgetMs <= 0) return null
        return StageCall(run.exchange, run.stage, AttemptId(attempt), point.backend, run.body, budgetMs, nextToken, point.kvFrom)
    }

    /** Makes one attempt; returns the outcome of the stage, or null if another attempt may follow. */
    private suspend fun attempt(
        call: StageCall,
        mode: StageMode,
        tries: Tries,
    ): Outcome<Answer>? {
        tries.excluded += call.backend.id
        return when (val attempt = attempts.run(call, mode::send)) {
            is Attempt.Ended -> Outcome.Refused(attempt.refusal)
            is Attempt.Skipped -> null.also { tries.failure = tries.failure ?: attempt.refusal }
            is Attempt.Sent -> afterSend(call, attempt.result, mode, tries)
        }
    }

    private fun afterSend(
        call: StageCall,
        result: SendResult,
        mode: StageMode,
        tries: Tries,
    ): Outcome<Answer>? {
        mode.answerOrNull(result)?.let { return Outcome.Ok(it) }
        if (!call.exchange.keyIsInForce) return KEY_WITHDRAWN
        val failure = result.toRefusal(call.backend)
        tries.sends++
        tries.failure = failure
        if (tries.sends == MAX_SENDS || !result.isRepeatable(call.stage) || !retries.trySpend(call.stage)) return Outcome.Refused(failure)
        metrics.retried()
        return null
    }

    private companion object {
        /** The most sends of one stage of one request. */
        const val MAX_SENDS = 3
        val OUT_OF_TIME = refused(RefusalReason.DEADLINE_PASSED, Step.DEADLINE, "no time is left to send")
    }
}

/** Whether a send of [stage] that ended so may be repeated at another backend server. */
private fun SendResult.isRepeatable(stage: StageSpec): Boolean =
    when (this) {
        is SendResult.NotSent -> true
        is SendResult.Failed -> isRepeatable && stage.idempotent
        is SendResult.StreamEnded, SendResult.TimedOut -> stage.idempotent
        is SendResult.Answered -> false
    }

/** The refusal that a failed send at [backend] leads to; whether the request ran is filled in by the pipeline. */
private fun SendResult.toRefusal(backend: BackendSpec): Refusal {
    val peer = backend.id.value
    return when (this) {
        is SendResult.NotSent -> refused(RefusalReason.BACKEND_FAILED, Step.SEND, "${backend.id} $detail", peer = peer)
        is SendResult.Failed -> refused(RefusalReason.BACKEND_FAILED, Step.ANSWER, "${backend.id} $detail", peer = peer)
        is SendResult.StreamEnded ->
            refused(RefusalReason.BACKEND_FAILED, Step.STREAM, "${backend.id} ended its stream after $count tokens", peer = peer)
        is SendResult.Answered ->
            refused(RefusalReason.BACKEND_FAILED, Step.ANSWER, "${backend.id} answered something else", peer = peer)
        SendResult.TimedOut -> refused(RefusalReason.DEADLINE_PASSED, Step.ANSWER, "${backend.id} did not answer in time", peer = peer)
    }.refusal
}
