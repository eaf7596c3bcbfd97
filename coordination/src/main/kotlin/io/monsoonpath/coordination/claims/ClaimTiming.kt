package io.monsoonpath.coordination.claims

/**
 * Durations and bounds of claims.
 *
 * @property ttlMs how long a claim is remembered; it must exceed the longest time for which a request can run
 * @property useWithinMs how long after asking a granted claim may be used
 * @property retryMs the time between two asks to a home that has not answered or not granted
 * @property maxClaims the most claims that one holder grants while it remembers them
 * @property maxClaimsPerWorkspace the most of them for one workspace
 */
data class ClaimTiming(
    val ttlMs: Long = 120_000,
    val useWithinMs: Long = 5_000,
    val retryMs: Long = 60,
    val maxClaims: Int = 200_000,
    val maxClaimsPerWorkspace: Int = 50_000,
) {
    init {
        require(ttlMs > useWithinMs) { "ttlMs must exceed useWithinMs $useWithinMs: $ttlMs" }
    }

    /** How long a holder remembers a claim, with a margin for clocks that run at different speeds. */
    internal val retentionMs: Long get() = ttlMs + ttlMs / DRIFT_DIVISOR + useWithinMs

    private companion object {
        const val DRIFT_DIVISOR = 50
    }
}
