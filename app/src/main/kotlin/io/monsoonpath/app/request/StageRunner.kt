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

/** Defines what differs between stages with a buffered answer and stages that stream tokens. */
internal interface StageMode {
    /** The index of the next token to receive; always 0 if the answer is buffered. */
    val nextToken: Long

    /** Returns the target of the next attempt, which is none of [excluded]. */
    fun choose(excluded: Set<BackendId>): Outcome<ResumePoint>

    /** Sends one attempt. */
    suspend fun send(call: StageCall): SendResult

    /** Returns the answer if [result] completes it, or null otherwise. */
    fun answerOrNull(result: SendResult): Answer?
}

/**
 * Runs one stage of a request on a backend server, with retries on other backend servers if they are allowed.
 *
 * A call that may have reached a backend server is retried only if its stage is idempotent. All retries are subject to the retry budget.
 */
internal class StageRunner(
    private val clock: ClockMs,
    private val metrics: RequestMetrics,
    private val budget: RetryBudget,
    private val attempts: AttemptRunner,
) {
    private class AttemptHistory {
        val excluded = HashSet<BackendId>()
        var sends = 0
        var failure: Refusal? = null

        fun finalRefusal(otherwise: Outcome.Refused): Outcome.Refused = failure?.let { Outcome.Refused(it) } ?: otherwise
    }

    /** Runs attempts of [run] in [mode] until one returns the answer or no further attempt is allowed. */
    suspend fun run(
        run: StageRun,
        mode: StageMode,
    ): Outcome<Answer> {
        val history = AttemptHistory()
        budget.recordFirstAttempt(run.stage)
        while (true) {
            val target =
                when (val chosen = mode.choose(history.excluded)) {
                    is Outcome.Refused -> return history.finalRefusal(chosen)
                    is Outcome.Ok -> chosen.value
                }
            val call = stageCall(run, history.sends + 1, target, mode.nextToken) ?: return history.finalRefusal(NO_TIME_LEFT)
            attempt(call, mode, history)?.let { return it }
        }
    }

    private fun stageCall(
        run: StageRun,
        attempt: Int,
        target: ResumePoint,
        nextToken: Long,
    ): StageCall? {
        val budgetMs = run.endAtMs - clock.nowMs()
        if (budgetMs <= 0) return null
        return StageCall(run.exchange, run.stage, AttemptId(attempt), target.backend, run.body, budgetMs, nextToken, target.kvFrom)
    }

    /** Makes one attempt. Returns the outcome of the stage, or null if another attempt may follow. */
    private suspend fun attempt(
        call: StageCall,
        mode: StageMode,
        history: AttemptHistory,
    ): Outcome<Answer>? {
        history.excluded += call.backend.id
        return when (val attempt = attempts.run(call, mode::send)) {
            is Attempt.Aborted -> Outcome.Refused(attempt.refusal)
            is Attempt.Skipped -> null.also { history.failure = history.failure ?: attempt.refusal }
            is Attempt.Sent -> afterSend(call, attempt.result, mode, history)
        }
    }

    private fun afterSend(
        call: StageCall,
        result: SendResult,
        mode: StageMode,
        history: AttemptHistory,
    ): Outcome<Answer>? {
        mode.answerOrNull(result)?.let { return Outcome.Ok(it) }
        if (!call.exchange.isKeyActive) return KEY_WITHDRAWN
        val failure = result.toRefusal(call.backend)
        history.sends++
        history.failure = failure
        if (history.sends == MAX_SENDS || !result.isRetryable(call.stage) || !budget.tryAcquire(call.stage)) return Outcome.Refused(failure)
        metrics.recordRetry()
        return null
    }

    private companion object {
        /** The maximum number of times that one stage of a request is sent. */
        const val MAX_SENDS = 3
        val NO_TIME_LEFT = refused(RefusalReason.DEADLINE_PASSED, Step.DEADLINE, "no time is left to send")
    }
}

/** Returns whether a call of [stage] with this result may be retried on another backend server. */
private fun SendResult.isRetryable(stage: StageSpec): Boolean =
    when (this) {
        is SendResult.NotSent -> true
        is SendResult.Failed -> isRetryable && stage.idempotent
        is SendResult.StreamEnded, SendResult.TimedOut -> stage.idempotent
        is SendResult.Answered -> false
    }

/** Returns the refusal for a failed send to [backend]. The pipeline runner fills in whether the request has run. */
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
