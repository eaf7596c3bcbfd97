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
 * Handles a generate stage whose tokens are streamed to the caller.
 *
 * A stream that is lost is resumed on another engine from the next token, so that the caller receives each token once and in order.
 */
internal class StreamingStageMode(
    private val run: StageRun,
    private val components: RequestComponents,
    private val metrics: RequestMetrics,
    private val sender: StageSender,
) : StageMode {
    private val sink = checkNotNull(run.exchange.tokens) { "request ${run.exchange.id} has no token sink" }

    override var nextToken = 0L
        private set

    override fun choose(excluded: Set<BackendId>): Outcome<ResumePoint> {
        if (nextToken == 0L) return components.chooser.choose(run.exchange, run.stage, excluded).map { ResumePoint(it) }
        metrics.recordResume()
        return components.resumer.resume(run.exchange, run.stage, excluded, nextToken)
    }

    /** Reads the stream of [call] until it ends or fails, or the key of the caller is withdrawn. */
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

    /**
     * Delivers [token] if it is the next one, and drops it if it was delivered before.
     *
     * Returns false if a token is missing before it or the key of the request has been withdrawn.
     */
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
