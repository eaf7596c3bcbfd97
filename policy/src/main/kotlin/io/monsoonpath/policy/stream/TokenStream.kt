package io.monsoonpath.policy.stream

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId

/**
 * The state machine of a generated stream, which may be continued on other engines. Each token is delivered exactly once and in order.
 *
 * Tokens are numbered over the whole stream. After the loss of an engine, another engine resumes at the next number. Late and duplicate
 * tokens and those of an earlier engine are not delivered. After a gap, the tokens of the engine are not reliable, so a gap is handled as
 * a loss of the engine.
 * Not thread-safe: the caller synchronizes.
 *
 * @param firstEngine the engine of the first attempt
 */
class TokenStream<T>(
    firstEngine: BackendId,
) {
    private var phase: Phase = Phase.Streaming(AttemptId(1), firstEngine)
    private var nextSeq = 0
    private var export: KvExport? = null
    private val lostEngines = LinkedHashSet<BackendId>()

    /** The number of delivered tokens. */
    val delivered: Int get() = nextSeq

    /** Updates the state by [input] and returns the actions to execute, in order. */
    fun handle(input: StreamInput<T>): List<StreamEffect<T>> =
        when (input) {
            is StreamInput.Token -> handleToken(input)
            is StreamInput.Exported -> handleExported(input)
            is StreamInput.Ended -> handleEnded(input)
            is StreamInput.Lost -> if (engineOrNull(input.attempt) == null) emptyList() else resume(cancel = false)
            is StreamInput.Resumed -> handleResumed(input)
            StreamInput.NoEngine -> handleNoEngine()
            StreamInput.Abandoned -> cancelRunning().also { phase = Phase.Done }
        }

    private fun handleToken(input: StreamInput.Token<T>): List<StreamEffect<T>> {
        if (engineOrNull(input.attempt) == null || input.seq < nextSeq) return emptyList()
        if (input.seq > nextSeq) return resume(cancel = true)
        nextSeq++
        return listOf(StreamEffect.Deliver(input.seq, input.token))
    }

    private fun handleExported(input: StreamInput.Exported): List<StreamEffect<T>> {
        val usable = engineOrNull(input.attempt) != null && input.export.tokens > (export?.tokens ?: 0)
        if (usable) export = input.export
        return emptyList()
    }

    private fun handleEnded(input: StreamInput.Ended): List<StreamEffect<T>> {
        if (engineOrNull(input.attempt) == null) return emptyList()
        if (input.tokens != nextSeq) return resume(cancel = false)
        phase = Phase.Done
        return listOf(StreamEffect.Complete(nextSeq))
    }

    private fun handleResumed(input: StreamInput.Resumed): List<StreamEffect<T>> {
        val resuming = phase as? Phase.Resuming
        if (resuming == null || resuming.attempt != input.attempt) return listOf(StreamEffect.Cancel(input.attempt, input.backend))
        phase = Phase.Streaming(input.attempt, input.backend)
        return emptyList()
    }

    private fun handleNoEngine(): List<StreamEffect<T>> = if (phase is Phase.Resuming) fail(StreamFailure.NO_ENGINE) else emptyList()

    private fun resume(cancel: Boolean): List<StreamEffect<T>> {
        val streaming = phase as? Phase.Streaming ?: return emptyList()
        val cancelled = if (cancel) cancelRunning() else emptyList()
        lostEngines += streaming.engine
        if (lostEngines.size > MAX_LOST_ENGINES) return cancelled + fail(StreamFailure.TOO_MANY_ENGINES_LOST)
        val next = AttemptId(streaming.attempt.value + 1)
        phase = Phase.Resuming(next)
        return cancelled + StreamEffect.Resume(next, nextSeq, usableExportOrNull(), lostEngines.toSet())
    }

    /** Returns the export unless it reaches past the last delivered token: importing it would skip tokens, and engines cannot cut it. */
    private fun usableExportOrNull(): KvExport? = export?.takeIf { it.tokens <= nextSeq }

    private fun fail(failure: StreamFailure): List<StreamEffect<T>> {
        phase = Phase.Done
        return listOf(StreamEffect.Fail(failure))
    }

    private fun cancelRunning(): List<StreamEffect<T>> =
        (phase as? Phase.Streaming)?.let { listOf(StreamEffect.Cancel(it.attempt, it.engine)) }.orEmpty()

    private fun engineOrNull(attempt: AttemptId): BackendId? = (phase as? Phase.Streaming)?.takeIf { it.attempt == attempt }?.engine

    private sealed interface Phase {
        data class Streaming(
            val attempt: AttemptId,
            val engine: BackendId,
        ) : Phase

        data class Resuming(
            val attempt: AttemptId,
        ) : Phase

        data object Done : Phase
    }

    private companion object {
        const val MAX_LOST_ENGINES = 3
    }
}
