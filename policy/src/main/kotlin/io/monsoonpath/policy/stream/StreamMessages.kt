package io.monsoonpath.policy.stream

import io.monsoonpath.model.AttemptId
import io.monsoonpath.model.BackendId

/** A key-value cache that an engine exported; another engine can import it in place of computing the tokens again. */
data class KvExport(
    val id: String,
    val tokens: Int,
)

/** What happened to a stream. */
sealed interface StreamInput<out T> {
    /** Token number [seq], from 0, came from the engine of [attempt]. */
    data class Token<out T>(
        val attempt: AttemptId,
        val seq: Int,
        val token: T,
    ) : StreamInput<T>

    /** The engine of [attempt] exported its cache. */
    data class Exported(
        val attempt: AttemptId,
        val export: KvExport,
    ) : StreamInput<Nothing>

    /** The engine of [attempt] ended the stream after [tokens] tokens in all. */
    data class Ended(
        val attempt: AttemptId,
        val tokens: Int,
    ) : StreamInput<Nothing>

    /** The connection to the engine of [attempt] was lost, or its tokens came too slowly. */
    data class Lost(
        val attempt: AttemptId,
    ) : StreamInput<Nothing>

    /** Another engine, [backend], was chosen for [attempt], passed the check at the send, and was asked to resume. */
    data class Resumed(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : StreamInput<Nothing>

    /** No engine can take the stream. */
    data object NoEngine : StreamInput<Nothing>

    /** The caller went away or the deadline cannot be met any more. */
    data object Abandoned : StreamInput<Nothing>
}

/** What is to be done for a stream. */
sealed interface StreamEffect<out T> {
    /** Token number [seq] goes to the caller; numbers rise by one without gaps or repeats. */
    data class Deliver<out T>(
        val seq: Int,
        val token: T,
    ) : StreamEffect<T>

    /**
     * Another engine is to be chosen, not one of [excluded], and asked to go on.
     *
     * @property attempt the number of the new attempt
     * @property fromSeq the number of the first token that is still to come
     * @property kvImport the cache to import first, or null where the tokens before are to be computed again
     */
    data class Resume(
        val attempt: AttemptId,
        val fromSeq: Int,
        val kvImport: KvExport?,
        val excluded: Set<BackendId>,
    ) : StreamEffect<Nothing>

    /** The stream of [attempt] is to be cancelled on [backend]. */
    data class Cancel(
        val attempt: AttemptId,
        val backend: BackendId,
    ) : StreamEffect<Nothing>

    /** The caller has received every token. */
    data class Complete(
        val tokens: Int,
    ) : StreamEffect<Nothing>

    /** The stream ends without being whole. */
    data class Fail(
        val failure: StreamFailure,
    ) : StreamEffect<Nothing>
}

/** Why a stream could not be completed. */
enum class StreamFailure { TOO_MANY_ENGINES_LOST, NO_ENGINE }
