package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.map

/** Handles a stage whose answer is received completely before it is used. */
internal class BufferedStageMode(
    private val run: StageRun,
    private val chooser: BackendChooser,
    private val sender: StageSender,
) : StageMode {
    override val nextToken: Long get() = 0

    override fun choose(excluded: Set<BackendId>): Outcome<ResumePoint> =
        chooser.choose(run.exchange, run.stage, excluded).map { ResumePoint(it) }

    override suspend fun send(call: StageCall): SendResult = sender.send(call)

    override fun answerOrNull(result: SendResult): Answer? = (result as? SendResult.Answered)?.let { Answer.Buffered(it.body) }
}
