package io.monsoonpath.policy.stream

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId

/**
 * A key-value cache exported by an engine. Another engine can import it instead of recomputing the tokens.
 *
 * @property tokens the number of tokens that the cache covers
 */
data class KvExport(
    val id: String,
    val tokens: Int,
)

/** An event of a stream. */
sealed interface StreamInput<out T> {
    /** The engine of [attempt] sent the token with the number [seq], counted from 0. */
    data class Token<out T>(
        val attempt: AttemptId,
        val seq: Int,
        val token: T,
    ) : StreamInput<T>

    /** The engine of [attempt] exported its key-value cache. */
    data class Exported(
        val attempt: AttemptId,
        val export: KvExport,
    ) : StreamInput<Nothing>

    /** The engine of [attempt] ended the stream after a total of [tokens] tokens. */
    data class Ended(
        val attempt: AttemptId,
        val tokens: Int,
    ) : StreamInput<Nothing>

    /** The connection to the engine of [attempt] was lost, or the engine was too slow. */
    data class Lost(
        val attempt: AttemptId,
    ) : StreamInput<Nothing>

    /** The engine [backend] was chosen for [attempt], passed the check before the send, and was sent the request to resume. */
    data class Resumed(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : StreamInput<Nothing>

    /** No engine is available to resume the stream. */
    data object NoEngine : StreamInput<Nothing>

    /** The caller disconnected, or the deadline can no longer be met. */
    data object Abandoned : StreamInput<Nothing>
}

/** An action that the user of a [TokenStream] must execute. */
sealed interface StreamEffect<out T> {
    /** Send the token with the number [seq] to the caller. Numbers are consecutive, without gaps or duplicates. */
    data class Deliver<out T>(
        val seq: Int,
        val token: T,
    ) : StreamEffect<T>

    /**
     * Choose an engine that is not in [excluded] and request it to continue the stream.
     *
     * @property attempt the number of the new attempt
     * @property fromSeq the number of the next token to generate
     * @property kvImport the cache to import first, or null to recompute the previous tokens
     */
    data class Resume(
        val attempt: AttemptId,
        val fromSeq: Int,
        val kvImport: KvExport?,
        val excluded: Set<BackendId>,
    ) : StreamEffect<Nothing>

    /** Cancel the stream of [attempt] on [backend]. */
    data class Cancel(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : StreamEffect<Nothing>

    /** End the stream: all [tokens] tokens were delivered. */
    data class Complete(
        val tokens: Int,
    ) : StreamEffect<Nothing>

    /** End the stream as incomplete. */
    data class Fail(
        val failure: StreamFailure,
    ) : StreamEffect<Nothing>
}

/** The reason why a stream could not be completed. */
enum class StreamFailure { TOO_MANY_ENGINES_LOST, NO_ENGINE }
