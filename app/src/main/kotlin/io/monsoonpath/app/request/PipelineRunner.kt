package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.Step

/** Runs the stages of a pipeline in order. The answer of each stage is the request body of the next one. */
internal class PipelineRunner(
    private val clock: ClockMs,
    private val components: RequestComponents,
    private val metrics: RequestMetrics,
    private val stages: StageRunner,
    private val sender: StageSender,
) : RequestHandler {
    override suspend fun handle(exchange: Exchange): Outcome<Answer> {
        var body = exchange.body
        val last = exchange.pipeline.stages.lastIndex
        for (index in 0..last) {
            when (val answer = runStage(StageRun(exchange, index, body))) {
                is Outcome.Refused -> return answer.withStageAndExecutionStatus(exchange, index)
                is Outcome.Ok ->
                    when (val value = answer.value) {
                        is Answer.Streamed -> return answer
                        is Answer.Buffered -> body = value.body
                    }
            }
        }
        return Outcome.Ok(Answer.Buffered(body))
    }

    private suspend fun runStage(run: StageRun): Outcome<Answer> {
        val remainingMs = run.exchange.deadlineAtMs - clock.nowMs()
        if (remainingMs <= 0) return refused(RefusalReason.DEADLINE_PASSED, Step.DEADLINE, "no time is left for ${run.stage.id}")
        val budgetMs =
            when (val budget = components.deadlines.budgetMs(run.exchange.pipeline, run.index, remainingMs)) {
                is Outcome.Refused -> return budget
                is Outcome.Ok -> budget.value
            }
        run.endAtMs = clock.nowMs() + budgetMs
        return stages.run(run, modeOf(run))
    }

    private fun modeOf(run: StageRun): StageMode =
        if (run.isStreamed) StreamingStageMode(run, components, metrics, sender) else BufferedStageMode(run, components.chooser, sender)

    /** Returns this refusal with the stage at [index], and as not run only if no byte of any stage can have reached a backend server. */
    private fun Outcome.Refused.withStageAndExecutionStatus(
        exchange: Exchange,
        index: Int,
    ) = Outcome.Refused(refusal.copy(stage = exchange.pipeline.stages[index].id, ran = exchange.ran))
}

/** The execution of one stage of a request with the request body [body]. It must end by [endAtMs]. */
internal class StageRun(
    val exchange: Exchange,
    val index: Int,
    val body: ByteArray,
) {
    val stage = exchange.pipeline.stages[index]
    var endAtMs = 0L

    /** Whether the tokens of this stage are streamed to the caller. */
    val isStreamed: Boolean
        get() = exchange.tokens != null && stage.kind == StageKind.GENERATE && index == exchange.pipeline.stages.lastIndex
}
