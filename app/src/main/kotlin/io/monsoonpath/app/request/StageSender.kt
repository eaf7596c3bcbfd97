package io.monsoonpath.app.request

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.StageSpec

/** Sends attempts to backend servers and checks that each answer belongs to its attempt. */
internal interface StageSender {
    /** Sends [call] and returns the complete answer. */
    suspend fun send(call: StageCall): SendResult

    /**
     * Sends [call] and passes its tokens to [deliver] in the order of their arrival, at the rate at which [deliver] accepts them.
     *
     * [deliver] returns false if the stream must be aborted, for example because a token is missing.
     */
    suspend fun stream(
        call: StageCall,
        deliver: suspend (Token) -> Boolean,
    ): SendResult
}

/**
 * One attempt at one stage.
 *
 * @property budgetMs the maximum duration of the attempt in milliseconds
 * @property firstToken the index of the first requested token; above 0 if a stream is resumed
 * @property kvFrom the engine from which to import the KV cache, or null to import none
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

/** The result of sending an attempt. */
internal sealed interface SendResult {
    /** The complete answer was received. */
    class Answered(
        val body: ByteArray,
        val incarnation: String?,
    ) : SendResult

    /** The stream was ended explicitly after [count] tokens in total. */
    class StreamEnded(
        val count: Long,
        val incarnation: String?,
    ) : SendResult

    /** The call was not sent: no byte of it can have reached the backend server. */
    class NotSent(
        val detail: String,
    ) : SendResult

    /** The backend server failed. [isRetryable] is false if a retry on another backend server would fail in the same way. */
    class Failed(
        val detail: String,
        val isRetryable: Boolean = true,
    ) : SendResult

    /** The answer was not received within the time budget of the attempt. */
    data object TimedOut : SendResult
}
