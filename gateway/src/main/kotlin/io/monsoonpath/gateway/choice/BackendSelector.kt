package io.monsoonpath.gateway.choice

import io.monsoonpath.coordination.gossip.rendezvousScore
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.PromptPart
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.policy.choice.BackendChooser
import io.monsoonpath.policy.choice.Candidate
import io.monsoonpath.policy.choice.Choice
import io.monsoonpath.policy.choice.ChoiceQuery
import io.monsoonpath.policy.choice.PoolView
import io.monsoonpath.policy.choice.Sharing
import io.monsoonpath.policy.choice.poolView
import java.util.SplittableRandom

/**
 * A backend server that was selected for an attempt at [selectedAtMs]; [reason] is written to the log.
 *
 * @property expectation what the selection by pace expects of the attempt, or null if the pool states no paces
 */
class SelectedBackend(
    val server: BackendServer,
    val load: BackendLoad,
    val reason: String,
    val selectedAtMs: Long,
    val expectation: Expectation? = null,
)

/**
 * What is expected of an attempt at a backend server that states its pace.
 *
 * @property work the work to do before the answer, including that of other requests; its unit is that of the pool's baseline
 * @property statedPace how much longer than usual work takes on the server by its own reports
 * @property paceAgeMs the age of the last report of the pace in milliseconds, or null if the pace is unknown
 * @property durationMs the expected time to the first byte in milliseconds, or null before the first answer of the pool
 */
class Expectation(
    val work: Double,
    val statedPace: Double,
    val paceAgeMs: Long?,
    val durationMs: Double?,
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
 * In pools whose servers state their pace, a server with an early expected completion among a few random ones is selected at random, so
 * that instances with the same reports do not all select the same server. The load of an engine is weighted by its pace.
 *
 * @property gate the gate that keeps requests from servers by their own notices
 * @param coldRateLimit returns the requests per second that all instances together may send to one cold server of a pool
 * @param seed the seed of the random samples; it differs between instances
 */
class BackendSelector(
    private val directory: BackendDirectory,
    private val loads: BackendLoads,
    private val coldStartLimiter: ColdStartLimiter,
    val gate: BackendGate,
    private val ownDomain: FailureDomain,
    seed: Long,
    private val coldRateLimit: (Pool) -> Double,
) {
    private val chooser = BackendChooser(sampleSize = SAMPLE_SIZE, sharing = Sharing.SLOTS)
    private val random = SplittableRandom(seed)

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
        val selected =
            when {
                pool.engine != null -> selectByPrompt(pool, candidates, parts, nowMs)
                loads.reportsPaces(pool.id, nowMs) -> selectByPace(pool, candidates, nowMs)
                else -> selectLeastLoaded(candidates, nowMs)
            }
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
        if (pool.engine == null || candidates.isEmpty()) return null
        return selectByPrompt(pool, candidates, parts, nowMs).server.failureDomain
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

    /** Returns a server with an early expected completion among a few random [candidates], by their paces and loads. */
    private fun selectByPace(
        pool: Pool,
        candidates: List<BackendServer>,
        nowMs: Long,
    ): SelectedBackend {
        val baselineMs = loads.baselineMsOrNull(pool.id)
        val query = ChoiceQuery(baselineMs ?: INITIAL_DURATION_MS, uncertainty = UNCERTAINTY)
        val choice = chooser.choose(viewOf(candidates, nowMs), query, nowMs, random.nextLong())
        if (choice !is Choice.Chosen) return selectLeastLoaded(candidates, nowMs)
        val server = candidates.first { it.id == choice.backend.id }
        val load = loads.of(server)
        val expectation =
            Expectation(
                work = choice.baselineMs / query.expectedMs,
                statedPace = load.pace.factor(nowMs),
                paceAgeMs = load.pace.ageMsOrNull(nowMs),
                durationMs = choice.expectedMs.takeIf { baselineMs != null },
            )
        return SelectedBackend(
            server,
            load,
            "early completion, ${minOf(SAMPLE_SIZE, candidates.size)} of ${candidates.size} compared",
            nowMs,
            expectation,
        )
    }

    private fun viewOf(
        candidates: List<BackendServer>,
        nowMs: Long,
    ): PoolView {
        val local =
            candidates.map {
                Candidate(loads.of(it).tracked, if (it.failureDomain == ownDomain) 0.0 else OTHER_DOMAIN_MS, loads.paceFactor(it, nowMs))
            }
        return poolView(local, remote = emptyList(), nowMs)
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
        pool: Pool,
        candidates: List<BackendServer>,
        parts: List<PromptPart>,
        nowMs: Long,
    ): SelectedBackend {
        val sharedPart = sharedPartOf(parts)
        val isPaced = loads.reportsPaces(pool.id, nowMs)
        val promptTokens = parts.sumOf { it.tokens }
        val engineLoads =
            DoubleArray(candidates.size) {
                val pending = pendingTokens(candidates[it], nowMs)
                if (isPaced) (pending + promptTokens) * loads.paceFactor(candidates[it], nowMs) else pending
            }
        val bound = LOAD_BOUND_FACTOR * engineLoads.average() + LOAD_SLACK_TOKENS
        val eligible = candidates.indices.filter { engineLoads[it] <= bound }
        val index =
            when {
                sharedPart != null -> eligible.maxBy { rendezvousScore(candidates[it].id.value, sharedPart) }
                isPaced -> sampleOf(eligible).minBy { engineLoads[it] }
                else -> eligible.minBy { engineLoads[it] }
            }
        val selected = candidates[index]
        val reason = if (sharedPart == null) "least loaded engine" else "engine for the shared prompt part"
        val detail = "$reason, ${eligible.size} of ${candidates.size} below the load limit"
        val expectation = if (isPaced) expectationOf(pool, selected, promptTokens, nowMs) else null
        return SelectedBackend(selected, loads.of(selected), detail, nowMs, expectation)
    }

    private fun sampleOf(eligible: List<Int>): List<Int> = List(SAMPLE_SIZE) { eligible[random.nextInt(eligible.size)] }

    private fun expectationOf(
        pool: Pool,
        engine: BackendServer,
        promptTokens: Int,
        nowMs: Long,
    ): Expectation {
        val load = loads.of(engine)
        val work = pendingTokens(engine, nowMs) + promptTokens + TOKENS_PER_RUNNING_REQUEST
        val durationMs = loads.baselineMsOrNull(pool.id)?.let { it * work * loads.paceFactor(engine, nowMs) }
        return Expectation(work, load.pace.factor(nowMs), load.pace.ageMsOrNull(nowMs), durationMs)
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

        /** Enough to compare all servers of a small pool, of which a smaller sample would never select the slowest. */
        const val SAMPLE_SIZE = 4

        /**
         * Reports are older than the load that they state. At 0, instances with the same reports select the same server; at 1, requests are
         * spread in proportion to speed alone.
         */
        const val UNCERTAINTY = 0.35

        /** Compares loads until the first answer has been measured. */
        const val INITIAL_DURATION_MS = 50.0

        /** Decides between servers that are otherwise equal. */
        const val OTHER_DOMAIN_MS = 0.5
    }
}
