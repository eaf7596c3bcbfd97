package io.monsoonpath.gateway.stage

import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** Identifies a piece by its request, stage and segment. */
data class PieceId(
    val request: RequestId,
    val stage: Int,
    val segment: Int,
)

/** Where a piece's input comes from. */
sealed interface PieceInput {
    /** The caller's input, identified by [key]. */
    data class Key(
        val key: String,
    ) : PieceInput

    /** The results of other stages. */
    data class Results(
        val handles: List<String>,
    ) : PieceInput
}

/**
 * A unit of work of one request's stage, executed by a worker of [pool].
 *
 * @property domain the failure domain in which execution transfers the least data, or null if there is no preference
 * @property latestStartMs the latest start that meets the latency target of the request, in milliseconds of the batching instance's clock
 * @property expiresAtMs the time after which the result is useless, in milliseconds of the same clock
 * @property rank the rank of the request; 0 is the most urgent
 * @property inputsUntilMs the time from which an input may no longer exist, in milliseconds of the same clock
 */
class Piece(
    val id: PieceId,
    val pool: PoolId,
    val input: PieceInput,
    val resultBytes: Long,
    val domain: FailureDomain?,
    val latestStartMs: Long,
    val expiresAtMs: Long,
    val rank: Int = 0,
    val inputsUntilMs: Long = Long.MAX_VALUE,
)

/** A status report for a piece. [Started] is optional and precedes [Completed] or [Failed], which are final. */
sealed interface PieceResult {
    /** The piece was sent to a free worker, which is now reading its inputs. */
    data object Started : PieceResult

    /** The worker stores the result under [handle]. */
    data class Completed(
        val handle: String,
    ) : PieceResult

    /** The piece has no result. */
    data class Failed(
        val reason: PieceFailure,
    ) : PieceResult
}

/** The reason why a piece failed. */
enum class PieceFailure(
    /** Whether a retry may succeed. */
    val isRetryable: Boolean,
) {
    /** The piece expired while it was queued. */
    LATE(isRetryable = false),

    /** An input no longer exists. */
    INPUT_GONE(isRetryable = false),

    /** The worker has no memory for the result. */
    NO_ROOM(isRetryable = true),

    /** The worker failed or did not respond. */
    WORKER_FAILED(isRetryable = true),
}
