package io.monsoonpath.policy.room

/**
 * Estimates the time from a call to the first event of an engine, from the prompt, the engine's batch and its pace.
 *
 * An engine processes the prompt while it generates events for its running requests, so both count as tokens; the time per token is
 * learned from the calls that have been answered.
 */
class FirstEventEstimate {
    private var msPerToken: Double? = null

    /** Records that the first event took [tookMs], for the given prompt, batch and pace. */
    fun record(
        promptTokens: Int,
        batch: Double,
        paceFactor: Double,
        tookMs: Long,
    ) {
        val observed = tookMs / (tokens(promptTokens, batch) * paceFactor.coerceAtLeast(MIN_PACE_FACTOR))
        msPerToken = msPerToken?.let { it + SMOOTHING * (observed - it) } ?: observed
    }

    /**
     * Returns the expected time to the first event in milliseconds, or [defaultMs] multiplied by the pace before the first call.
     *
     * @param batch the number of requests that an engine processes at the same time
     * @param paceFactor how much longer than usual work takes; 1.0 as usual
     */
    fun expectedMs(
        promptTokens: Int,
        batch: Double,
        paceFactor: Double,
        defaultMs: Long,
    ): Long {
        val perToken = msPerToken ?: return (defaultMs * paceFactor).toLong()
        return (perToken * tokens(promptTokens, batch) * paceFactor).toLong()
    }

    private fun tokens(
        promptTokens: Int,
        batch: Double,
    ) = FIXED_TOKENS + promptTokens + batch * TOKENS_PER_RUNNING_REQUEST

    private companion object {
        const val SMOOTHING = 0.1
        const val MIN_PACE_FACTOR = 0.1

        /** The part of a call that does not depend on the prompt, in tokens. */
        const val FIXED_TOKENS = 1_000.0

        /** A running request slows down the others about as much as processing this many prompt tokens; as in the selection of engines. */
        const val TOKENS_PER_RUNNING_REQUEST = 500.0
    }
}
