package io.monsoonpath.policy.room

/**
 * The demand of one instance for the capacity of a pool.
 *
 * @property running the number of requests that hold a place
 * @property waiting the number of requests that wait for a place
 * @property arrivals the number of requests that arrived in the last second
 */
data class PoolDemand(
    val running: Int,
    val waiting: Int,
    val arrivals: Int,
)

/**
 * The shares of the instances with a demand, in concurrent requests.
 *
 * @property spreadPercent how far the shares that are in demand exceed the capacity because none is less than one, in percent: 100 if they
 *   do not, 200 if an instance should start requests at half the rate that its share allows
 */
class CapacitySplit(
    val shares: Map<String, Int>,
    val spreadPercent: Int,
)

/**
 * Splits the capacity of one pool among the instances by their reported demand. Used by the owner of the pool.
 *
 * Load pattern: some tens of instances share a few to some hundred slots, and the demand of each changes within a second. Each instance
 * gets what it demands, up to a level that is the same for all; what remains is offered to each of them, because bursts rarely
 * coincide. A share is at least [MIN_SHARE]. The demand of an instance that has become silent counts until it expires: the instance may
 * still use its last share until then.
 */
class CapacityShares {
    private class Report(
        val demand: PoolDemand,
        val atMs: Long,
    )

    private val reports = HashMap<String, Report>()
    private var completeAtMs = 0L

    /** The number of instances with a demand that has not expired at the last split. */
    val size: Int get() = reports.size

    /** Records the [demand] that [instance] reported at [nowMs]. */
    fun record(
        instance: String,
        demand: PoolDemand,
        nowMs: Long,
    ) {
        if (reports.isEmpty()) completeAtMs = nowMs + COMPLETE_AFTER_MS
        reports[instance] = Report(demand, nowMs)
    }

    /**
     * Returns the share of each instance with a valid report, in concurrent requests, of [capacity] concurrent requests in all.
     *
     * @param instances the number of instances that may have a demand; until all have had time to report theirs, shares are equal
     */
    fun split(
        capacity: Int,
        instances: Int,
        nowMs: Long,
    ): CapacitySplit {
        reports.values.removeIf { nowMs - it.atMs >= SHARE_VALID_MS }
        val wanted =
            reports
                .map { (instance, report) ->
                    instance to wantedBy(report.demand)
                }.sortedWith(compareBy({ it.second }, { it.first }))
        var remaining = capacity
        val shares = HashMap<String, Int>()
        wanted.forEachIndexed { i, (instance, want) ->
            // The sizes rise, so what a small demand leaves of its equal part goes to the larger ones after it.
            val share = minOf(want, ceilDiv(remaining, wanted.size - i))
            shares[instance] = share.coerceAtLeast(MIN_SHARE)
            remaining = (remaining - share).coerceAtLeast(0)
        }
        val spreadPercent = spreadPercent(minOf(wanted.size, wanted.sumOf { it.second }), capacity)
        if (nowMs < completeAtMs) {
            // The demand of the others is not known yet: neither all of the capacity nor only what is in demand here is a safe answer.
            shares.replaceAll { _, _ -> equalShare(capacity, instances) }
        } else if (remaining > 0) {
            shares.replaceAll { _, share -> share + ceilDiv(remaining, SURPLUS_DIVISOR) }
        }
        return CapacitySplit(shares, spreadPercent)
    }

    private fun wantedBy(demand: PoolDemand) = demand.running + demand.waiting

    private fun ceilDiv(
        a: Int,
        b: Int,
    ) = (a + b - 1) / b

    /** The terms under which shares are given. */
    companion object {
        /** A share, and the demand behind it, is valid for this long: six reports, and less than it takes to detect a dead instance. */
        const val SHARE_VALID_MS = 1_500L

        /** The least share, so that an instance never depends on another one to serve a request. */
        const val MIN_SHARE = 1

        /** A new owner has heard from all instances after two reports of each. */
        private const val COMPLETE_AFTER_MS = 500L

        /** Each instance may use half of the unclaimed capacity at once; two bursts at the same time still fit. */
        private const val SURPLUS_DIVISOR = 2
        private const val PERCENT = 100
        private const val MAX_SPREAD_PERCENT = 10_000

        /** Returns how far shares of [MIN_SHARE] for [instances] instances exceed [capacity], in percent; at least 100. */
        fun spreadPercent(
            instances: Int,
            capacity: Int,
        ): Int = (instances * PERCENT / capacity.coerceAtLeast(1)).coerceIn(PERCENT, MAX_SPREAD_PERCENT)

        /** Returns the share of an instance that no owner has given one: an equal part of [capacity] among [instances]. */
        fun equalShare(
            capacity: Int,
            instances: Int,
        ): Int = (capacity / instances.coerceAtLeast(1)).coerceAtLeast(MIN_SHARE)
    }
}
