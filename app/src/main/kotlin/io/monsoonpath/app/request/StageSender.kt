package io.monsoonpath.app.request

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.StageSpec

/** Sends attempts to backend servers and checks that what comes back is what was asked for. */
internal interface StageSender {
    /** Sends [call] and returns its whole answer. */
    suspend fun send(call: StageCall): SendResult

    /**
     * Sends [call] and passes on its tokens as [deliver] takes them, in the order in which they come.
     *
     * [deliver] returns false where the token is not the next one and the stream is to be given up.
     */
    suspend fun stream(
        call: StageCall,
        deliver: suspend (Token) -> Boolean,
    ): SendResult
}

/**
 * One attempt at one stage.
 *
 * @property budgetMs how long it may take
 * @property firstToken the index of the first token wanted; above 0 where a stream is resumed
 * @property kvFrom the engine to import the KV cache from, or null
 */
internal class StageCall(
    val exchange: Exchange,
    val stage: StageSpec,
    val attempt: AttemptId,
    val backend: BackendSpec,
    val body: ByteArray,
    val budgetMs: Long,
    val firstToken: Long = 0,
    val kvFrom: BackendSpec? = null,
)

/** How a send ended. */
internal sealed interface SendResult {
    /** The whole answer came. */
    class Answered(
        val body: ByteArray,
        val incarnation: String?,
    ) : SendResult

    /** The stream came to its explicit end after [count] tokens in all. */
    class StreamEnded(
        val count: Long,
        val incarnation: String?,
    ) : SendResult

    /** No byte of the call can have reached the backend server. */
    class NotSent(
        val detail: String,
    ) : SendResult

    /** The backend server failed; [isRetryable] is false where another one would answer the same. */
    class Failed(
        val detail: String,
        val isRetryable: Boolean = true,
    ) : SendResult

    /** The answer did not come within the attempt's budget. */
    data object TimedOut : SendResult
}
