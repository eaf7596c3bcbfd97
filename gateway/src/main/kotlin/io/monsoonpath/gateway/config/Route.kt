package io.monsoonpath.gateway.config

import io.monsoonpath.model.PoolId
import io.monsoonpath.model.WorkspaceId

/** The kind of a route's requests, which determines whether they may be repeated. */
sealed interface RouteKind {
    /** Requests that may run any number of times. */
    data object Idempotent : RouteKind

    /** Requests that run at most once. */
    data object NonIdempotent : RouteKind

    /**
     * Requests whose answer is a stream of numbered events.
     *
     * @property isResumable whether another backend server may continue the stream after the last delivered event
     * @property maxEventGapMs the maximum time between two events of an answer that is on time, in milliseconds
     */
    data class Stream(
        val isResumable: Boolean,
        val maxEventGapMs: Long,
    ) : RouteKind
}

/** Whether requests of this kind may run more than once. */
val RouteKind.isIdempotent: Boolean
    get() =
        when (this) {
            RouteKind.Idempotent -> true
            RouteKind.NonIdempotent -> false
            is RouteKind.Stream -> isResumable
        }

/** A pool of backend servers that serves part of a route's requests, in proportion to [weight]. */
data class WeightedPool(
    val pool: PoolId,
    val weight: Int,
)

/**
 * A stage of a route: work that is done before a request is sent to its backend server.
 *
 * @property after the indices of the stages whose results are the inputs of this one
 * @property resultBytes the approximate size of the result of one piece, in bytes
 */
data class Stage(
    val pool: PoolId,
    val after: List<Int>,
    val resultBytes: Long,
)

/** The pools and limits for the requests of one host and path prefix. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val maxAttempts: Int,
    /** The priority among routes; 0 is the highest. */
    val priority: Int,
    val pools: List<WeightedPool>,
    /** Whether requests without an API key are allowed. */
    val allowsAnonymous: Boolean,
    /** The time after which a caller without a first byte closes the connection, whatever its deadline, in milliseconds. */
    val callerFirstByteTimeoutMs: Long,
    val stages: List<Stage>,
) {
    private val totalWeight = pools.sumOf { it.weight }

    /** Returns the pool of a request whose id has the given [hash], or null if the route has no pool; the result depends only on [hash]. */
    fun poolOf(hash: Int): PoolId? {
        if (totalWeight <= 0) return pools.firstOrNull()?.pool
        var remainder = Math.floorMod(hash, totalWeight)
        for (it in pools) {
            if (remainder < it.weight) return it.pool
            remainder -= it.weight
        }
        return null
    }

    /** The indices of the stages without successors; their results are the inputs of the request's own call. */
    val lastStages: List<Int> by lazy { stages.indices.filter { stage -> stages.none { stage in it.after } } }
}

/** The configuration of a workspace; [priority] replaces that of the route unless it is null. */
data class Workspace(
    val id: WorkspaceId,
    val priority: Int?,
)
