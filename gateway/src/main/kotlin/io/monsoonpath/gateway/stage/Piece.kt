package io.monsoonpath.gateway.stage

import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId

/** Names a piece among all: what is made for one stage and segment of one request. */
data class PieceId(
    val request: RequestId,
    val stage: Int,
    val segment: Int,
)

/** Where a piece's input comes from. */
sealed interface PieceInput {
    /** The caller's own input, named by [key]. */
    data class Key(
        val key: String,
    ) : PieceInput

    /** The results of other stages. */
    data class Results(
        val handles: List<String>,
    ) : PieceInput
}

/**
 * A piece of a request's stage, to be made by a worker of [pool].
 *
 * @property domain the failure domain in which making it moves the least, or null if that is all the same
 * @property startByMs the latest start with which the request is still on time, in milliseconds of the batching instance's clock
 * @property expiresAtMs when the result is no longer of use, in the same clock
 */
class Piece(
    val id: PieceId,
    val pool: PoolId,
    val input: PieceInput,
    val resultBytes: Long,
    val domain: FailureDomain?,
    val startByMs: Long,
    val expiresAtMs: Long,
)

/** What becomes of a piece; [Started] may come before one of the others, which are final. */
sealed interface PieceResult {
    /** A worker that was free has got the piece, and reads its inputs now. */
    data object Started : PieceResult

    /** The result lies at its maker under [handle]. */
    data class Completed(
        val handle: String,
    ) : PieceResult

    /** The piece was not made. */
    data class Failed(
        val reason: PieceFailure,
    ) : PieceResult
}

/** Why a piece was not made. */
enum class PieceFailure(
    /** Whether another try may succeed. */
    val isRetryable: Boolean,
) {
    /** The time that was left had passed before its turn. */
    LATE(isRetryable = false),

    /** An input no longer exists. */
    INPUT_GONE(isRetryable = false),

    /** The worker has no room for the result. */
    NO_ROOM(isRetryable = true),

    /** The worker failed, or its answer did not come. */
    WORKER_FAILED(isRetryable = true),
}
