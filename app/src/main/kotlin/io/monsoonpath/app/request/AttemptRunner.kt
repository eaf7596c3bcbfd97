package io.monsoonpath.app.request

import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step

/** The result of an attempt, which was either sent or refused before it was sent. */
internal sealed interface Attempt {
    /** The attempt was handed to the sender, which returned [result]. */
    class Sent(
        val result: SendResult,
    ) : Attempt

    /** The attempt was not sent. Another backend server may be tried. */
    class Skipped(
        val refusal: Refusal,
    ) : Attempt

    /** The attempt was not sent, and no other backend server may be tried. */
    class Aborted(
        val refusal: Refusal,
    ) : Attempt
}

/** Runs single attempts: acquires a permit, checks the active configuration, sends the call, and reports how it ended. */
internal class AttemptRunner(
    private val clock: ClockMs,
    private val events: EventSink,
    private val metrics: RequestMetrics,
    private val components: RequestComponents,
) {
    /** Runs the attempt [call], which is sent by [send]. */
    suspend fun run(
        call: StageCall,
        send: suspend (StageCall) -> SendResult,
    ): Attempt =
        when (val permit = components.permits.acquire(call.backend, call.exchange.deadlineAtMs)) {
            is Outcome.Refused -> Attempt.Skipped(permit.refusal)
            is Outcome.Ok -> runPermitted(call, permit.value, send)
        }

    private suspend fun runPermitted(
        call: StageCall,
        permit: Permit,
        send: suspend (StageCall) -> SendResult,
    ): Attempt {
        val rejection = rejectionOrNull(call)
        if (rejection != null) {
            permit.release(AttemptEnd.NOT_SENT)
            return rejection
        }
        var result: SendResult? = null
        val startMs = recordSent(call)
        try {
            return Attempt.Sent(send(call).also { result = it })
        } finally {
            if (result !is SendResult.NotSent) call.exchange.recordReached(call.stage)
            recordEnded(call, result, clock.nowMs() - startMs, permit)
        }
    }

    /** Returns why [call] must not be sent, or null. The configuration may have changed since the backend server was chosen. */
    private fun rejectionOrNull(call: StageCall): Attempt? =
        when {
            !call.exchange.isKeyActive -> Attempt.Aborted(KEY_WITHDRAWN.refusal)
            !call.exchange.view.isEligible(call.backend) -> Attempt.Skipped(backendOutOfService(call.backend))
            else -> null
        }

    private fun backendOutOfService(backend: BackendSpec) =
        refused(RefusalReason.NO_BACKEND, Step.SEND, "${backend.id} was taken out of service", peer = backend.id.value).refusal

    private fun recordSent(call: StageCall): Long {
        events.emit(Event.AttemptSent(call.exchange.id, call.stage.id, call.attempt, call.backend.id))
        components.chooser.onAttemptSent(call.backend.id)
        return clock.nowMs()
    }

    private fun recordEnded(
        call: StageCall,
        result: SendResult?,
        tookMs: Long,
        permit: Permit,
    ) {
        val end = result.toEnd()
        permit.release(end)
        components.chooser.onAttemptEnded(AttemptReport(call.backend, call.stage, end, tookMs, result.incarnationOrNull()))
        metrics.recordAttempt(call.stage.id, end, tookMs)
        events.emit(Event.AttemptEnded(call.exchange.id, call.stage.id, call.attempt, call.backend.id, result.describe(end), tookMs))
    }
}

/** The refusal of a request whose key was withdrawn while the request was running. */
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
