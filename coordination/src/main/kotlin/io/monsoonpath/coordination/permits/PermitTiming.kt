package io.monsoonpath.coordination.permits

/**
 * Durations and bounds of permits.
 *
 * @property maxBudgetMs the longest time for which one request may run
 * @property graceMs how long a request may go on after its deadline until it is cancelled for certain
 * @property retryMs the time between two asks to a home that has not answered
 * @property maxWaiting the most asks that wait for one backend server
 * @property maxRuns the most runs of one backend server whose completions are counted
 * @property startWindowMs the window over which starts are counted, where their rate is limited
 * @property startWithinMs how long after asking a permit may be used, where the rate of starts is limited
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
    /** How long a home counts a permit for a request of [budgetMs], with a margin for clocks that run at different speeds. */
    internal fun lifetimeMs(budgetMs: Long): Long = (budgetMs + graceMs).let { it + it / DRIFT_DIVISOR + MARGIN_MS }

    /** The longest time for which a permit lasts. */
    internal val maxLifetimeMs: Long get() = lifetimeMs(maxBudgetMs)

    /** How long after its grant a start is counted. */
    internal val slotMs: Long get() = (startWithinMs + startWindowMs).let { it + it / DRIFT_DIVISOR }

    private companion object {
        const val DRIFT_DIVISOR = 50
        const val MARGIN_MS = 20
    }
}

/**
 * What a backend server bears.
 *
 * @property coldLoad the requests at once in a cold start
 * @property fullLoad the requests at once when warm; the load rises by one for each completion of the run
 * @property startsPerWindow the most permits used within [PermitTiming.startWindowMs], or null where only the load limits
 */
data class PermitLimits(
    val coldLoad: Int,
    val fullLoad: Int,
    val startsPerWindow: Int? = null,
) {
    init {
        require(coldLoad in 1..fullLoad) { "coldLoad must be from 1 to fullLoad $fullLoad: $coldLoad" }
    }

    /** Returns the load that a run bears after [completions]; it is never above [fullLoad]. */
    fun loadAfter(completions: Int): Int = (coldLoad.toLong() + completions).coerceAtMost(fullLoad.toLong()).toInt()

    /** Whether the load ever rises. */
    internal val warmsUp: Boolean get() = startsPerWindow == null
}
