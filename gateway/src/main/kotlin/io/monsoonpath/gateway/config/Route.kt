package io.monsoonpath.gateway.config

import io.monsoonpath.model.PoolId
import io.monsoonpath.model.WorkspaceId

/** What a route's requests are, and so what may be repeated. */
sealed interface RouteKind {
    /** A call that may run any number of times. */
    data object Idempotent : RouteKind

    /** A call that runs at most once. */
    data object NonIdempotent : RouteKind

    /**
     * An answer in numbered events.
     *
     * @property isResumable whether another backend server may continue after the last event that was delivered
     * @property maxEventGapMs the longest pause between events of an answer that is on time, in milliseconds
     */
    data class Stream(
        val isResumable: Boolean,
        val maxEventGapMs: Long,
    ) : RouteKind
}

/** Whether a request of this kind may run more than once. */
val RouteKind.isIdempotent: Boolean
    get() =
        when (this) {
            RouteKind.Idempotent -> true
            RouteKind.NonIdempotent -> false
            is RouteKind.Stream -> isResumable
        }

/** A pool of backend servers and its share of a route's requests. */
data class WeightedPool(
    val pool: PoolId,
    val weight: Int,
)

/**
 * Work that precedes a request's own call.
 *
 * @property after the numbers of the stages whose results this one takes
 * @property resultBytes the approximate size of the result of one piece
 */
data class Stage(
    val pool: PoolId,
    val after: List<Int>,
    val resultBytes: Long,
)

/** Where requests of one host and path prefix go, and under which limits. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val maxAttempts: Int,
    /** The rank among routes; 0 is the highest. */
    val priority: Int,
    val pools: List<WeightedPool>,
    /** Whether requests pass without a key. */
    val allowsAnonymous: Boolean,
    /** How long a caller waits for the first byte of an answer, in milliseconds; it leaves then, whatever its deadline. */
    val callerFirstByteTimeoutMs: Long,
    val stages: List<Stage>,
) {
    private val totalWeight = pools.sumOf { it.weight }

    /** Returns the pool of a request whose id has [hash]; one request always gets the same pool. */
    fun poolOf(hash: Int): PoolId? {
        if (totalWeight <= 0) return pools.firstOrNull()?.pool
        var remainder = Math.floorMod(hash, totalWeight)
        for (it in pools) {
            if (remainder < it.weight) return it.pool
            remainder -= it.weight
        }
        return null
    }

    /** The stages that no other stage follows; their results go into the request's own call. */
    val lastStages: List<Int> by lazy { stages.indices.filter { stage -> stages.none { stage in it.after } } }
}

/** A workspace as the configuration describes it; [priority] replaces that of the route if present. */
data class Workspace(
    val id: WorkspaceId,
    val priority: Int?,
)
