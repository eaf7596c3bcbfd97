package io.monsoonpath.gateway.choice

import io.monsoonpath.coordination.gossip.rendezvousScore
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.PromptPart
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain

/** A backend server that was selected for an attempt at [selectedAtMs]; [reason] is written to the log. */
class SelectedBackend(
    val server: BackendServer,
    val load: BackendLoad,
    val reason: String,
    val selectedAtMs: Long,
)

/**
 * Selects the backend server for an attempt.
 *
 * Engines cache the parts of prompts that they have processed, so requests that share a part are sent to the same engine: every instance
 * ranks the engines by the same hash of the part and selects the first whose load is not far above the average. In other pools, the
 * server with the fewest attempts per slot is selected, counting those of this instance and those that the server reports. Cold servers
 * receive requests only within their rate limit, ejected servers only if no other is left, and servers that the gate keeps requests from
 * receive none.
 *
 * @property gate the gate that keeps requests from servers by their own notices
 * @param coldRateLimit returns the requests per second that all instances together may send to one cold server of a pool
 */
class BackendSelector(
    private val directory: BackendDirectory,
    private val loads: BackendLoads,
    private val coldStartLimiter: ColdStartLimiter,
    val gate: BackendGate,
    private val ownDomain: FailureDomain,
    private val coldRateLimit: (Pool) -> Double,
) {
    /** Returns a backend server of [pool] that is not in [tried] for a request with the prompt [parts], or null if none is available. */
    fun select(
        pool: Pool,
        parts: List<PromptPart>,
        tried: Set<BackendId>,
        nowMs: Long,
    ): SelectedBackend? {
        val usable = directory.usable(pool.id).filter { isSelectable(it, pool, tried, nowMs) }
        val healthy = usable.filterNot { loads.of(it).isEjected(nowMs) }
        val candidates = healthy.ifEmpty { usable }
        if (candidates.isEmpty()) return null
        val selected = if (pool.engine == null) selectLeastLoaded(candidates, nowMs) else selectByPrompt(candidates, parts, nowMs)
        gate.recordSelected(selected.server, nowMs)
        if (nowMs < selected.server.coldUntilMs) coldStartLimiter.recordRequest(selected.server.id, nowMs)
        return selected
    }

    /** Returns whether a backend server of [pool] that is not in [tried] is available. */
    fun canSelect(
        pool: Pool,
        tried: Set<BackendId>,
        nowMs: Long,
    ): Boolean = directory.usable(pool.id).any { isSelectable(it, pool, tried, nowMs) }

    /** Returns the failure domain of the engine that [select] would probably return for the prompt [parts], or null if unknown. */
    fun likelyDomain(
        pool: Pool,
        parts: List<PromptPart>,
        nowMs: Long,
    ): FailureDomain? {
        val candidates = directory.usable(pool.id).filter { gate.isAvailable(it, nowMs) && !loads.of(it).isEjected(nowMs) }
        return if (pool.engine == null || candidates.isEmpty()) null else selectByPrompt(candidates, parts, nowMs).server.failureDomain
    }

    private fun isSelectable(
        server: BackendServer,
        pool: Pool,
        tried: Set<BackendId>,
        nowMs: Long,
    ) = server.id !in tried && gate.isAvailable(server, nowMs) && isWithinColdLimit(server, pool, nowMs)

    private fun isWithinColdLimit(
        server: BackendServer,
        pool: Pool,
        nowMs: Long,
    ) = nowMs >= server.coldUntilMs || pool.coldRequestsPerSecond <= 0 || coldStartLimiter.maySend(server.id, coldRateLimit(pool), nowMs)

    private fun selectLeastLoaded(
        candidates: List<BackendServer>,
        nowMs: Long,
    ): SelectedBackend {
        val best =
            candidates.minWith(
                compareBy({ loadScore(it, nowMs) / it.slots.coerceAtLeast(1) }, { if (it.failureDomain == ownDomain) 0 else 1 }, { it.id }),
            )
        return SelectedBackend(best, loads.of(best), "least loaded of ${candidates.size}", nowMs)
    }

    /** Returns the number of attempts at [server], by this instance and by others according to the last report, plus a latency term. */
    private fun loadScore(
        server: BackendServer,
        nowMs: Long,
    ): Double {
        val load = loads.of(server)
        val attemptsOfOthers = maxOf(0, reportedAttempts(load, nowMs) - load.inFlight)
        return load.inFlight + attemptsOfOthers * REPORT_WEIGHT + load.latencyMs / LATENCY_PER_ATTEMPT_MS
    }

    private fun reportedAttempts(
        load: BackendLoad,
        nowMs: Long,
    ): Int = load.reportedWithin(REPORT_MAX_AGE_MS, nowMs)?.let { it.running + it.waiting } ?: 0

    private fun selectByPrompt(
        candidates: List<BackendServer>,
        parts: List<PromptPart>,
        nowMs: Long,
    ): SelectedBackend {
        val sharedPart = sharedPartOf(parts)
        val engineLoads = DoubleArray(candidates.size) { pendingTokens(candidates[it], nowMs) }
        val bound = LOAD_BOUND_FACTOR * engineLoads.average() + LOAD_SLACK_TOKENS
        val eligible = candidates.indices.filter { engineLoads[it] <= bound }
        val index =
            when (sharedPart) {
                null -> eligible.minBy { engineLoads[it] }
                else -> eligible.maxBy { rendezvousScore(candidates[it].id.value, sharedPart) }
            }
        val selected = candidates[index]
        val reason = if (sharedPart == null) "least loaded engine" else "engine for the shared prompt part"
        return SelectedBackend(selected, loads.of(selected), "$reason, ${eligible.size} of ${candidates.size} below the load limit", nowMs)
    }

    /** Returns the last part that other requests may share: the one before the last, which is specific to the request. */
    private fun sharedPartOf(parts: List<PromptPart>): String? = (parts.getOrNull(parts.size - 2) ?: parts.lastOrNull())?.id?.value

    /** Returns the work that precedes a new request at [server], in tokens. */
    private fun pendingTokens(
        server: BackendServer,
        nowMs: Long,
    ): Double {
        val load = loads.of(server)
        return load.pendingPromptTokens + maxOf(load.inFlight, reportedAttempts(load, nowMs)) * TOKENS_PER_RUNNING_REQUEST.toDouble()
    }

    private companion object {
        const val REPORT_MAX_AGE_MS = 1_000L

        /** All instances see the same reports: with full weight, they would all stop using the same server at the same time. */
        const val REPORT_WEIGHT = 0.5

        /** A latency that is higher by this amount counts as one more attempt. */
        const val LATENCY_PER_ATTEMPT_MS = 100.0
        const val LOAD_BOUND_FACTOR = 1.5
        const val LOAD_SLACK_TOKENS = 8_000.0

        /** A running request slows down the others about as much as processing this many prompt tokens. */
        const val TOKENS_PER_RUNNING_REQUEST = 500
    }
}
