package io.monsoonpath.policy.warmth

/**
 * The load that a backend server may bear while it leaves a cold start: it rises only as calls complete at normal speed.
 *
 * The instance that grants the server's permits owns it, because only that one sees the completions of all. Single-threaded.
 *
 * @param coldLoad the load it bears in a cold start
 * @param fullLoad the load it bears when warm
 */
class Ramp(
    private val coldLoad: Int,
    private val fullLoad: Int,
) {
    private var successes = 0
    private var slowSuccesses = 0

    /** The load it may bear now, from the cold load to the full load. */
    var limit: Int = coldLoad
        private set

    /** Whether the ramp is complete. */
    val isWarm: Boolean get() = limit >= fullLoad

    init {
        require(coldLoad in 1..fullLoad) { "coldLoad must lie from 1 to $fullLoad: $coldLoad" }
    }

    /**
     * Notes an answer.
     *
     * @param ratio the duration divided by the duration that the pool's median server would have taken
     * @return the load that it may bear now
     */
    fun completed(ratio: Double): Int {
        if (isWarm) return limit
        if (ratio <= NORMAL_RATIO) successes++ else slowSuccesses++
        val steady = slowSuccesses >= SLOW_ROUNDS * limit
        if (successes >= ROUNDS * limit || steady) raise()
        return limit
    }

    /** Returns to the cold load, after a new cold start. */
    fun restart() {
        limit = coldLoad
        successes = 0
        slowSuccesses = 0
    }

    private fun raise() {
        limit = minOf(limit + coldLoad, fullLoad)
        successes = 0
        slowSuccesses = 0
    }

    private companion object {
        const val NORMAL_RATIO = 1.5
        const val ROUNDS = 2

        /** A server that stays slow for this many rounds is slow for good and not cold. */
        const val SLOW_ROUNDS = 20
    }
}
