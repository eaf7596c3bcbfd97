package io.monsoonpath.policy.stream

import io.monsoonpath.model.BackendId

/**
 * A run of a stream, as far as it matters whether a copy of its cached tokens is kept on another engine.
 *
 * @property isRepeatable whether another engine may run the request again if its engine is lost
 * @property promptTokens the number of tokens of the prompt
 * @property outputTokens the maximum number of tokens to generate
 */
data class StreamingRun(
    val isRepeatable: Boolean,
    val promptTokens: Int,
    val outputTokens: Int,
) {
    /** The number of tokens that a copy of the complete run holds. */
    val tokens: Long get() = promptTokens.toLong() + outputTokens
}

/**
 * The transfers between the engines of a pool.
 *
 * @property tokenBytes the size of one cached token in bytes
 * @property bytesPerMs the rate of an engine's link in bytes per millisecond
 * @property capacityTokens the number of tokens that an engine can cache
 */
data class CopyLimits(
    val tokenBytes: Long,
    val bytesPerMs: Long,
    val capacityTokens: Long,
)

/**
 * An engine that may store a copy.
 *
 * @property copyTokens the tokens of the copies that this instance keeps there
 * @property isInSourceDomain whether it is in the failure domain of the engine that runs the request
 * @property utilization the share of its slots that are occupied, from 0
 */
data class CopyHost(
    val id: BackendId,
    val copyTokens: Long,
    val isInSourceDomain: Boolean,
    val utilization: Double,
)

/** Returns whether a copy of [run] is worth its transfer: the run cannot be repeated, and lasts long enough for a copy to be complete. */
fun isWorthCopying(
    run: StreamingRun,
    limits: CopyLimits,
): Boolean =
    !run.isRepeatable &&
        run.outputTokens >= MIN_OUTPUT_TOKENS &&
        limits.bytesPerMs > 0 &&
        run.tokens * limits.tokenBytes / limits.bytesPerMs <= MAX_TRANSFER_MS

/**
 * Returns the engine of [hosts] that stores the copy of a run with [tokens] tokens, or null if none has room.
 *
 * Load: a few long streams per instance run at the same time, and a quarter of the engines, or all of a failure domain, are lost at once.
 * Copies are kept in another failure domain if possible, and spread over the engines within the memory that this instance may use there, so
 * that they cause no preemption and a crash loses few copies.
 *
 * @param limits the limits of the pool
 * @param sharers the number of instances that may store copies on the same engine
 */
fun selectCopyHost(
    hosts: List<CopyHost>,
    tokens: Long,
    limits: CopyLimits,
    sharers: Int,
): CopyHost? {
    val allowance = (limits.capacityTokens * MAX_COPY_FRACTION / sharers).toLong()
    return hosts
        .filter { it.utilization <= MAX_UTILIZATION && it.copyTokens + tokens <= allowance }
        .minWithOrNull(compareBy({ it.isInSourceDomain }, { it.copyTokens }, { it.utilization }, { it.id }))
}

/** Engines send a copy several times per second; a shorter run ends before it would be useful. */
private const val MIN_OUTPUT_TOKENS = 100

/** A longer transfer would delay the copies of other runs on the same link by more than the interval at which they are sent. */
private const val MAX_TRANSFER_MS = 100

/** What copies may take of the memory of an engine. Running requests take up to a seventh, and the rest is for cached prompt parts. */
private const val MAX_COPY_FRACTION = 0.4

/** A fuller engine needs its memory for its own requests. */
private const val MAX_UTILIZATION = 0.9
