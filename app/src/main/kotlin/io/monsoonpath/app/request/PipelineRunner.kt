package io.monsoonpath.app.request

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step

/** Sends one attempt to a backend server and returns its checked answer. */
internal fun interface StageSender {
    suspend fun send(call: StageCall): Outcome<ByteArray>
}

/** One attempt at one stage. */
internal class StageCall(
    val exchange: Exchange,
    val stage: StageSpec,
    val attempt: AttemptId,
    val backend: BackendSpec,
    val body: ByteArray,
    val remainingMs: Long,
)

/** Runs the stages of a pipeline in order, each on the answer of the one before. */
internal class PipelineRunner(
    private val clock: ClockMs,
    private val events: EventSink,
    private val chooser: BackendChooser,
    private val permits: PermitSource,
    private val sender: StageSender,
) : Next {
    override suspend fun proceed(exchange: Exchange): Outcome<Answer> {
        var body = exchange.body
        for (stage in exchange.pipeline.stages) {
            when (val result = runStage(exchange, stage, body)) {
                is Outcome.Ok -> body = result.value
                is Outcome.Refused -> return Outcome.Refused(result.refusal.copy(stage = stage.id))
            }
        }
        return Outcome.Ok(Answer(body))
    }

    private suspend fun runStage(
        exchange: Exchange,
        stage: StageSpec,
        body: ByteArray,
    ): Outcome<ByteArray> {
        val remainingMs = exchange.deadlineAtMs - clock.nowMs()
        if (remainingMs <= 0) return refused(RefusalReason.DEADLINE_PASSED, Step.DEADLINE, "no time is left for ${stage.id}")
        val backend =
            when (val chosen = chooser.choose(exchange, stage, emptySet())) {
                is Outcome.Ok -> chosen.value
                is Outcome.Refused -> return chosen
            }
        return when (val permit = permits.acquire(backend, exchange.deadlineAtMs)) {
            is Outcome.Refused -> permit
            is Outcome.Ok ->
                try {
                    send(StageCall(exchange, stage, AttemptId(1), backend, body, remainingMs))
                } finally {
                    permit.value.release()
                }
        }
    }

    private suspend fun send(call: StageCall): Outcome<ByteArray> {
        val request = call.exchange.id
        val startMs = clock.nowMs()
        events.emit(Event.AttemptSent(request, call.stage.id, call.attempt, call.backend.id))
        chooser.sent(call.backend.id)
        var result: Outcome<ByteArray>? = null
        try {
            return sender.send(call).also { result = it }
        } finally {
            val tookMs = clock.nowMs() - startMs
            chooser.ended(call.backend.id, call.stage, tookMs, result is Outcome.Ok)
            val text = result.describe()
            events.emit(Event.AttemptEnded(request, call.stage.id, call.attempt, call.backend.id, text, tookMs))
        }
    }

    private fun Outcome<ByteArray>?.describe(): String =
        when (this) {
            null -> "cancelled"
            is Outcome.Ok -> "answered"
            is Outcome.Refused -> refusal.reason.name
        }
}
