package io.monsoonpath.gateway.choice

import io.monsoonpath.coordination.gossip.rendezvousScore
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.PromptPart
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain

/** A backend server that was selected, and why. */
class SelectedBackend(
    val server: BackendServer,
    val load: BackendLoad,
    val reason: String,
)

/**
 * Chooses the backend server of an attempt.
 *
 * Engines keep the parts of prompts that they have read, so requests that share a part go to the same engine: every instance ranks the
 * engines by the same hash of the part and takes the first that isn't loaded well above the others. Plain services take the one with
 * the fewest attempts, own and reported. Cold ones get only what they bear, ejected ones only if nothing else is left.
 */
class BackendSelector(
    private val directory: BackendDirectory,
    private val loads: BackendLoads,
    private val coldStartLimiter: ColdStartLimiter,
    private val ownDomain: FailureDomain,
    private val coldRateLimit: (Pool) -> Double,
) {
    /** Returns the backend server of [pool] for a request with [parts] of prompt, other than those in [tried], or null. */
    fun select(
        pool: Pool,
        parts: List<PromptPart>,
        tried: Set<BackendId>,
        nowMs: Long,
    ): SelectedBackend? {
        val usable = directory.usable(pool.id).filter { it.id !in tried && isWithinColdLimit(it, pool, nowMs) }
        val healthy = usable.filterNot { loads.of(it).isEjected(nowMs) }
        val candidates = healthy.ifEmpty { usable }
        if (candidates.isEmpty()) return null
        val selected = if (pool.engine == null) selectLeastLoaded(candidates, nowMs) else selectByPrompt(candidates, parts, nowMs)
        if (nowMs < selected.server.coldUntilMs) coldStartLimiter.recordRequest(selected.server.id, nowMs)
        return selected
    }

    /** Returns whether [select] would find a backend server. */
    fun canSelect(
        pool: Pool,
        tried: Set<BackendId>,
        nowMs: Long,
    ): Boolean = directory.usable(pool.id).any { it.id !in tried && isWithinColdLimit(it, pool, nowMs) }

    /** Returns the failure domain of the engine that a request with [parts] of prompt is likely to get, or null. */
    fun likelyDomain(
        pool: Pool,
        parts: List<PromptPart>,
        nowMs: Long,
    ): FailureDomain? {
        val candidates = directory.usable(pool.id).filterNot { loads.of(it).isEjected(nowMs) }
        return if (pool.engine == null || candidates.isEmpty()) null else selectByPrompt(candidates, parts, nowMs).server.failureDomain
    }

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
        return SelectedBackend(best, loads.of(best), "least loaded of ${candidates.size}")
    }

    /** The attempts at [server]: this instance's own, and what others must have sent by the newest report. */
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
        val reason = if (sharedPart == null) "least loaded engine" else "engine for the shared part"
        return SelectedBackend(selected, loads.of(selected), "$reason, ${eligible.size} of ${candidates.size} open")
    }

    /** The last part that other requests may share; the last of all belongs to the request. */
    private fun sharedPartOf(parts: List<PromptPart>): String? = (parts.getOrNull(parts.size - 2) ?: parts.lastOrNull())?.id

    /** The work ahead of a new request, in tokens to read. */
    private fun pendingTokens(
        server: BackendServer,
        nowMs: Long,
    ): Double {
        val load = loads.of(server)
        return load.pendingPromptTokens + maxOf(load.inFlight, reportedAttempts(load, nowMs)) * TOKENS_PER_RUNNING_REQUEST.toDouble()
    }

    private companion object {
        const val REPORT_MAX_AGE_MS = 1_000L

        /** Reports are shared by all instances, which would all leave the same server at once if they counted in full. */
        const val REPORT_WEIGHT = 0.5

        /** A server that answers this much more slowly counts as one more attempt. */
        const val LATENCY_PER_ATTEMPT_MS = 100.0
        const val LOAD_BOUND_FACTOR = 1.5
        const val LOAD_SLACK_TOKENS = 8_000.0

        /** A running request slows the others about as much as reading this many tokens once. */
        const val TOKENS_PER_RUNNING_REQUEST = 500
    }
}
