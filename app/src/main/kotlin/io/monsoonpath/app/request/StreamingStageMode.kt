package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.map
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * A generate stage whose tokens go to the caller one by one.
 *
 * A stream that is lost goes on at another engine from the next token, so that the caller sees each token once and in order.
 */
internal class StreamingStageMode(
    private val run: StageRun,
    private val components: RequestComponents,
    private val metrics: RequestMetrics,
    private val sender: StageSender,
) : StageMode {
    private val sink = checkNotNull(run.exchange.tokens) { "request ${run.exchange.id} takes no tokens" }

    override var nextToken = 0L
        private set

    override fun choose(excluded: Set<BackendId>): Outcome<ResumePoint> {
        if (nextToken == 0L) return components.chooser.choose(run.exchange, run.stage, excluded).map { ResumePoint(it) }
        metrics.recordResume()
        return components.resumer.resume(run.exchange, run.stage, excluded, nextToken)
    }

    /** Reads the stream of [call] until its end, a failure, or the withdrawal of the caller's key. */
    override suspend fun send(call: StageCall): SendResult =
        coroutineScope {
            val reading = async { sender.stream(call, ::deliver) }
            val watch =
                launch {
                    while (call.exchange.isKeyActive) delay(KEY_CHECK_INTERVAL_MS)
                    reading.cancel()
                }
            try {
                reading.await()
            } catch (e: CancellationException) {
                if (call.exchange.isKeyActive) throw e
                SendResult.Failed("was cut off because the key was withdrawn", isRetryable = false)
            } finally {
                watch.cancel()
            }
        }

    override fun answerOrNull(result: SendResult): Answer? =
        if (result is SendResult.StreamEnded && result.count == nextToken) Answer.Streamed(result.count) else null

    /** Delivers [token] if it is the next one; drops a repeated one; returns false if one is missing before it. */
    private suspend fun deliver(token: Token): Boolean {
        if (token.index < nextToken) {
            metrics.recordDropped(Mismatch.REPEATED_TOKEN)
            return true
        }
        if (token.index > nextToken) {
            metrics.recordDropped(Mismatch.SKIPPED_TOKEN)
            return false
        }
        if (!run.exchange.isKeyActive) return false
        sink.emit(token)
        nextToken++
        return true
    }

    private companion object {
        const val KEY_CHECK_INTERVAL_MS = 500L
    }
}
