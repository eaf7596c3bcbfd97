package io.monsoonpath.app.request

import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step

/** How an attempt ended: sent with a result, or not sent because something refused it. */
internal sealed interface Attempt {
    /** It was handed to the sender. */
    class Sent(
        val result: SendResult,
    ) : Attempt

    /** It was not sent; another backend server may take it. */
    class Skipped(
        val refusal: Refusal,
    ) : Attempt

    /** It was not sent, and no other backend server may take it either. */
    class Ended(
        val refusal: Refusal,
    ) : Attempt
}

/** Runs single attempts: acquires the permit, checks the configuration in force, sends, and reports the end. */
internal class AttemptRunner(
    private val clock: ClockMs,
    private val events: EventSink,
    private val metrics: RequestMetrics,
    private val ports: RequestPorts,
) {
    /** Runs [call] by [send]. */
    suspend fun run(
        call: StageCall,
        send: suspend (StageCall) -> SendResult,
    ): Attempt =
        when (val permit = ports.permits.acquire(call.backend, call.exchange.deadlineAtMs)) {
            is Outcome.Refused -> Attempt.Skipped(permit.refusal)
            is Outcome.Ok -> runPermitted(call, permit.value, send)
        }

    private suspend fun runPermitted(
        call: StageCall,
        permit: Permit,
        send: suspend (StageCall) -> SendResult,
    ): Attempt {
        val denial = denialOrNull(call)
        if (denial != null) {
            permit.release(AttemptEnd.NOT_SENT)
            return denial
        }
        var result: SendResult? = null
        val startMs = noteSent(call)
        try {
            return Attempt.Sent(send(call).also { result = it })
        } finally {
            if (result !is SendResult.NotSent) call.exchange.noteReached(call.stage)
            noteEnded(call, result, clock.nowMs() - startMs, permit)
        }
    }

    /** Checks at the last moment what the configuration may have changed since the choice. */
    private fun denialOrNull(call: StageCall): Attempt? =
        when {
            !call.exchange.keyIsInForce -> Attempt.Ended(KEY_WITHDRAWN.refusal)
            !call.exchange.view.mayReceive(call.backend) -> Attempt.Skipped(noLongerServing(call.backend))
            else -> null
        }

    private fun noLongerServing(backend: BackendSpec) =
        refused(RefusalReason.NO_BACKEND, Step.SEND, "${backend.id} was taken out of service", peer = backend.id.value).refusal

    private fun noteSent(call: StageCall): Long {
        events.emit(Event.AttemptSent(call.exchange.id, call.stage.id, call.attempt, call.backend.id))
        ports.chooser.sent(call.backend.id)
        return clock.nowMs()
    }

    private fun noteEnded(
        call: StageCall,
        result: SendResult?,
        tookMs: Long,
        permit: Permit,
    ) {
        val end = result.toEnd()
        permit.release(end)
        ports.chooser.ended(AttemptReport(call.backend, call.stage, end, tookMs, result.incarnationOrNull()))
        metrics.attempt(call.stage.id, end, tookMs)
        events.emit(Event.AttemptEnded(call.exchange.id, call.stage.id, call.attempt, call.backend.id, result.describe(end), tookMs))
    }
}

/** The refusal of a request whose key was withdrawn while it ran. */
internal val KEY_WITHDRAWN = refused(RefusalReason.KEY_WITHDRAWN, Step.AUTHENTICATE, "the key was withdrawn")

private fun SendResult?.toEnd(): AttemptEnd =
    when (this) {
        null -> AttemptEnd.CANCELLED
        is SendResult.Answered, is SendResult.StreamEnded -> AttemptEnd.ANSWERED
        is SendResult.NotSent -> AttemptEnd.NOT_SENT
        is SendResult.Failed -> AttemptEnd.FAILED
        SendResult.TimedOut -> AttemptEnd.TIMED_OUT
    }

private fun SendResult?.incarnationOrNull(): String? =
    when (this) {
        is SendResult.Answered -> incarnation
        is SendResult.StreamEnded -> incarnation
        else -> null
    }

private fun SendResult?.describe(end: AttemptEnd): String =
    when (this) {
        is SendResult.NotSent -> "$end: $detail"
        is SendResult.Failed -> "$end: $detail"
        else -> end.name
    }
