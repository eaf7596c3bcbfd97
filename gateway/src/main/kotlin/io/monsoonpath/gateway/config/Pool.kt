package io.monsoonpath.gateway.config

import io.monsoonpath.model.PoolId

/**
 * The limits of one model engine.
 *
 * @property slots the number of requests that are processed at the same time
 * @property kvCapacityTokens the capacity of the key-value cache, in tokens
 * @property kvTokenBytes the size of one token in the key-value cache, in bytes
 * @property linkBytesPerMs the rate at which an engine transfers cached tokens to another, in bytes per millisecond
 * @property supportsMoves whether a run can be moved to another engine
 * @property supportsBackups whether an engine can send copies of a run's cached tokens to another while it runs
 * @property copyTtlMs the time for which an engine stores such a copy after its last part, in milliseconds
 */
data class EngineLimits(
    val slots: Int,
    val kvCapacityTokens: Long,
    val kvTokenBytes: Long = 0,
    val linkBytesPerMs: Long = 0,
    val supportsMoves: Boolean = false,
    val supportsBackups: Boolean = false,
    val copyTtlMs: Long = 0,
)

/**
 * The limits of one worker of a stage pool.
 *
 * @property slots the number of calls that are processed at the same time
 * @property maxQueuedCalls the maximum number of calls that wait at the worker
 * @property maxPieces the maximum number of pieces in one call
 * @property callMs the fixed part of the duration of a call, in milliseconds
 * @property pieceMs the approximate duration that each piece adds to a call, in milliseconds
 * @property resultMemoryBytes the memory for results that are not yet released
 * @property resultTtlMs the time for which a result is stored after its call, in milliseconds
 * @property linkBytesPerMs the rate at which a worker reads inputs, in bytes per millisecond
 */
data class BatchLimits(
    val slots: Int,
    val maxQueuedCalls: Int,
    val maxPieces: Int,
    val callMs: Double,
    val pieceMs: Double,
    val resultMemoryBytes: Long,
    val resultTtlMs: Long,
    val linkBytesPerMs: Long,
)

/**
 * The configuration of a pool of backend servers.
 *
 * @property maxConnections the maximum number of connections that one backend server accepts from all instances together
 * @property coldRequestsPerSecond the requests per second that one cold backend server can serve; 0 if the pool has no cold starts
 * @property engine the limits of a model engine, or null if the backend servers are no engines
 * @property batching the limits of a stage worker, or null if the pool does not serve stages
 */
data class Pool(
    val id: PoolId,
    val maxConnections: Int,
    val coldRequestsPerSecond: Double,
    val engine: EngineLimits?,
    val batching: BatchLimits?,
)
