package io.monsoonpath.gateway.config

import io.monsoonpath.model.PoolId

/** Limits of one model engine. */
data class EngineLimits(
    val slots: Int,
    val kvCapacityTokens: Long,
)

/**
 * Limits of one worker of a stage pool.
 *
 * @property callMs the fixed part of a call, in milliseconds
 * @property pieceMs the approximate time of one piece, in milliseconds
 * @property resultMemoryBytes the memory for results that were made and not yet released
 * @property resultTtlMs how long a result stays after its call, in milliseconds
 */
data class BatchLimits(
    val slots: Int,
    val maxQueuedCalls: Int,
    val maxPieces: Int,
    val callMs: Double,
    val pieceMs: Double,
    val resultMemoryBytes: Long,
    val resultTtlMs: Long,
)

/**
 * A pool of backend servers as the configuration describes it.
 *
 * @property maxConnections the connections that one backend server accepts from all instances together
 * @property coldRequestsPerSecond the requests a second that one cold backend server bears; 0 if the pool has no cold starts
 */
data class Pool(
    val id: PoolId,
    val maxConnections: Int,
    val coldRequestsPerSecond: Double,
    val engine: EngineLimits?,
    val batching: BatchLimits?,
)
