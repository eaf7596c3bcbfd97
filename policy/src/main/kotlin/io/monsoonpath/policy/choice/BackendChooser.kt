package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import java.util.SplittableRandom
import kotlin.math.ln
import kotlin.math.pow

/**
 * A stage call that needs a backend server.
 *
 * @property expectedMs the expected duration on an idle server, in milliseconds
 * @property prefixHash the hash of the prompt's prefix, or null if a prefix cache does not apply
 * @property prefixSaving the share of the duration that a cached prefix saves, from 0 to 1
 * @property excluded the servers on which this call has already failed
 * @property uncertainty the relative uncertainty of the expected completion times: 0 selects the shortest one, and a higher value selects
 *   each server with a probability in proportion to its time to the power of -1/[uncertainty]
 */
class ChoiceQuery(
    val expectedMs: Double,
    val prefixHash: Long? = null,
    val prefixSaving: Double = 0.0,
    val excluded: List<BackendId> = emptyList(),
    val uncertainty: Double = 0.0,
)

/** The outcome of [BackendChooser.choose]. */
sealed interface Choice {
    /**
     * The selected server. A [SendCheck] must allow the send before the call is sent.
     *
     * @property expectedMs the expected duration of the call on this server including the round trip, in milliseconds
     * @property baselineMs the expected duration at the same load on a server of typical speed and pace, without the round trip, in
     *   milliseconds
     * @property needsPermit whether the server is in a cold start, so that the send needs a permit
     */
    data class Chosen(
        val backend: TrackedBackend,
        val expectedMs: Double,
        val baselineMs: Double,
        val needsPermit: Boolean,
    ) : Choice

    /** No server of the pool is eligible for the call. */
    data object NoBackend : Choice

    /** Every eligible server of the pool is in a cold start and at its load limit; the call has to wait. */
    data object AllBusy : Choice
}

/**
 * Selects the backend server with the shortest expected completion time among a few random servers and those that may hold the
 * prompt's prefix.
 *
 * Instances that receive the same delayed load reports would all select the same least loaded server. Sampling a few random servers
 * per call spreads the calls.
 *
 * @param hints the prefix hints of this instance, empty by default
 * @param sampleSize the number of random servers of the own region to compare, at least two
 * @param sharing how concurrent calls slow each other down
 * @throws IllegalArgumentException if [sampleSize] is less than two
 */
class BackendChooser(
    private val hints: PrefixHints = PrefixHints(slots = 1),
    private val sampleSize: Int = 2,
    private val sharing: Sharing = Sharing.BATCHED,
) {
    init {
        require(sampleSize >= 2) { "sampleSize must be at least 2: $sampleSize" }
    }

    /**
     * Returns the choice for [query] from [pool].
     *
     * @param seed the seed of the random sample; calls with the same arguments and state give the same choice
     */
    fun choose(
        pool: PoolView,
        query: ChoiceQuery,
        nowMs: Long,
        seed: Long,
    ): Choice {
        if (pool.size == 0) return Choice.NoBackend
        val random = SplittableRandom(seed)
        val comparison = Comparison(pool, query, nowMs, random)
        comparison.sample(pool.local, sampleSize, random)
        comparison.sample(pool.remote, REMOTE_SAMPLE_SIZE, random)
        comparison.considerHolders()
        return comparison.bestOrNull() ?: comparison.scanAll(random)
    }

    /** The comparison for one call: the best candidate so far and its expected completion time. */
    private inner class Comparison(
        private val pool: PoolView,
        private val query: ChoiceQuery,
        private val nowMs: Long,
        private val random: SplittableRandom,
    ) {
        private val holders = query.prefixHash?.let { hints.holdersOrNull(it) }
        private var best: Candidate? = null
        private var bestExpectedMs = Double.MAX_VALUE
        private var bestScore = Double.MAX_VALUE

        fun sample(
            from: List<Candidate>,
            count: Int,
            random: SplittableRandom,
        ) {
            if (from.isEmpty()) return
            val first = random.nextInt(from.size)
            consider(from[first], skipEjected = true)
            repeat(minOf(count, from.size) - 1) { i ->
                val other = random.nextInt(from.size - 1)
                val step = 1 + if (count >= from.size) i else other
                consider(from[(first + step) % from.size], skipEjected = true)
            }
        }

        fun considerHolders() {
            val known = holders ?: return
            for (id in known.backends) pool.localOrNull(id)?.let { consider(it, skipEjected = true) }
        }

        fun bestOrNull(): Choice? = best?.let { chosen(it.backend, bestExpectedMs) }

        /** Considers every server, and the ejected ones if no other is eligible: a slow answer is better than none. */
        fun scanAll(random: SplittableRandom): Choice {
            val start = random.nextInt(pool.size)
            for (skipEjected in SKIP_EJECTED_PASSES) {
                for (i in 0 until pool.size) consider(pool[(start + i) % pool.size], skipEjected)
                bestOrNull()?.let { return it }
            }
            return if ((0 until pool.size).any { pool[it].isAllowed() }) Choice.AllBusy else Choice.NoBackend
        }

        private fun consider(
            candidate: Candidate,
            skipEjected: Boolean,
        ) {
            val backend = candidate.backend
            if (skipEjected && backend.isEjected(nowMs)) return
            if (!candidate.isAllowed()) return
            if (backend.needsPermit && backend.ownInFlight >= backend.loadLimit) return
            val ms =
                candidate.roundTripMs +
                    durationAtLoadMs(backend) * (candidate.paceFactor ?: backend.slowness(nowMs)) * (1 - saving(backend))
            val score = if (query.uncertainty == 0.0) ms else ms * exponential().pow(query.uncertainty)
            if (score >= bestScore) return
            best = candidate
            bestScore = score
            bestExpectedMs = ms
        }

        private fun exponential() = -ln(1 - random.nextDouble())

        private fun Candidate.isAllowed() = backend.id !in query.excluded

        private fun durationAtLoadMs(backend: TrackedBackend): Double =
            query.expectedMs * loadFactor(backend.expectedLoad(nowMs, pool.meanUtilisation), backend.loadLimit, sharing)

        private fun saving(backend: TrackedBackend): Double =
            if (holders == null) 0.0 else query.prefixSaving * hints.holdProbability(holders, backend.id, nowMs)

        private fun chosen(
            backend: TrackedBackend,
            expectedMs: Double,
        ) = Choice.Chosen(backend, expectedMs, durationAtLoadMs(backend) * (1 - saving(backend)), backend.needsPermit)
    }

    private companion object {
        const val REMOTE_SAMPLE_SIZE = 1
        val SKIP_EJECTED_PASSES = listOf(true, false)
    }
}

/** How the calls that a server runs at the same time slow each other down. */
enum class Sharing {
    /** Up to the load limit, calls share the server by batching; beyond it, they queue. */
    BATCHED,

    /** Each call occupies one slot; further calls queue. */
    SLOTS,
}

/** Returns the factor by which a call takes longer than on an idle server. */
internal fun loadFactor(
    load: Double,
    limit: Int,
    sharing: Sharing = Sharing.BATCHED,
): Double {
    val share = load / limit
    return when (sharing) {
        Sharing.BATCHED -> 1 + SHARING_SLOWDOWN * minOf(share, 1.0) + QUEUEING_SLOWDOWN * (share - 1).coerceAtLeast(0.0)
        // The load is an estimate: a call may have to wait although the expected load is below the limit.
        Sharing.SLOTS -> 1 + SHARING_SLOWDOWN * share + QUEUEING_SLOWDOWN * share * share * share
    }
}

private const val SHARING_SLOWDOWN = 0.5
private const val QUEUEING_SLOWDOWN = 2.0
