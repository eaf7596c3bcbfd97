package io.monsoonpath.coordination.claims

/**
 * Durations and bounds of claims.
 *
 * @property ttlMs how long a claim is stored; it must exceed [useWithinMs] and the longest time for which a request can run
 * @property useWithinMs how long after its request a granted claim may be used
 * @property retryMs the time between two messages to a replica that has not answered or has not granted the claim
 * @property maxClaims how many claims a replica stores before it refuses new ones
 * @property maxClaimsPerWorkspace the same bound for the claims of one workspace
 * @throws IllegalArgumentException if [ttlMs] does not exceed [useWithinMs]
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

    /** How long a replica stores a claim: [ttlMs] with a margin of 2 % for clock drift, and the time in which the claim may be used. */
    internal val retentionMs: Long get() = ttlMs + ttlMs / DRIFT_DIVISOR + useWithinMs

    private companion object {
        const val DRIFT_DIVISOR = 50
    }
}
