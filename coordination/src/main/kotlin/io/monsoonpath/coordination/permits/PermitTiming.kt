package io.monsoonpath.coordination.permits

/**
 * Durations and limits of permits.
 *
 * @property maxBudgetMs the maximum time budget of a request
 * @property graceMs the maximum time by which a request outlives its deadline before it is certainly cancelled
 * @property retryMs the interval at which an unanswered permit request is sent again
 * @property maxWaiting the maximum number of queued permit requests per backend server
 * @property maxRuns the maximum number of runs per backend server for which completions are counted
 * @property startWindowMs the window over which starts are counted when their rate is limited
 * @property startWithinMs how long after its request a permit can be used when the rate of starts is limited
 */
data class PermitTiming(
    val maxBudgetMs: Long = 10_000,
    val graceMs: Long = 1_000,
    val retryMs: Long = 60,
    val maxWaiting: Int = 64,
    val maxRuns: Int = 8,
    val startWindowMs: Long = 60_000,
    val startWithinMs: Long = 2_000,
) {
    /** Returns how long a home counts a permit for a request with [budgetMs], with a margin for clocks that run at different speeds. */
    internal fun lifetimeMs(budgetMs: Long): Long = (budgetMs + graceMs).let { it + it / DRIFT_DIVISOR + MARGIN_MS }

    /** The maximum lifetime of a permit. */
    internal val maxLifetimeMs: Long get() = lifetimeMs(maxBudgetMs)

    /** How long a start occupies a slot of the rate limit, from its grant on. */
    internal val slotMs: Long get() = (startWithinMs + startWindowMs).let { it + it / DRIFT_DIVISOR }

    private companion object {
        /** Allows for clock rates that differ by up to 1/50. */
        const val DRIFT_DIVISOR = 50
        const val MARGIN_MS = 20
    }
}

/**
 * The capacity of a backend server.
 *
 * @property coldLoad the maximum number of concurrent requests at a cold start
 * @property fullLoad the maximum number of concurrent requests when warm; the allowed load rises by one for each completion of the run
 * @property startsPerWindow the maximum number of starts within [PermitTiming.startWindowMs], or null to limit only concurrency
 */
data class PermitLimits(
    val coldLoad: Int,
    val fullLoad: Int,
    val startsPerWindow: Int? = null,
) {
    init {
        require(coldLoad in 1..fullLoad) { "coldLoad must be between 1 and fullLoad ($fullLoad): $coldLoad" }
    }

    /** Returns the number of concurrent requests allowed on a run after [completions], at most [fullLoad]. */
    fun loadAfter(completions: Int): Int = (coldLoad.toLong() + completions).coerceAtMost(fullLoad.toLong()).toInt()

    /** Whether the allowed load rises with completions; a rate-limited server never counts as warm. */
    internal val warmsUp: Boolean get() = startsPerWindow == null
}
