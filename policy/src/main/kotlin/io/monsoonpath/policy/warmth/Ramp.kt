package io.monsoonpath.policy.warmth

/**
 * The load limit of a backend server during a cold start: it increases only while calls complete at normal speed. Not thread-safe.
 *
 * The instance that grants the permits of the server owns its ramp, because only this instance observes all completed calls.
 *
 * @param coldLoad the number of concurrent requests that the server can handle in a cold start
 * @param fullLoad the number of concurrent requests that the server can handle when warm
 * @throws IllegalArgumentException if [coldLoad] is not in the range from 1 to [fullLoad]
 */
class Ramp(
    private val coldLoad: Int,
    private val fullLoad: Int,
) {
    private var answerCount = 0
    private var ratioSum = 0.0
    private var slowRounds = 0

    /** The current load limit, from the cold load to the full load. */
    var limit: Int = coldLoad
        private set

    /** Whether the ramp is complete. */
    val isWarm: Boolean get() = limit >= fullLoad

    init {
        require(coldLoad in 1..fullLoad) { "coldLoad must be in 1..$fullLoad: $coldLoad" }
    }

    /**
     * Records an answered call.
     *
     * @param ratio the duration divided by the duration that the pool's median server would have taken
     * @return the load limit after this answer
     */
    fun recordAnswer(ratio: Double): Int {
        if (isWarm) return limit
        answerCount++
        ratioSum += ratio
        if (answerCount < ANSWERS_PER_LOAD_UNIT * limit) return limit
        if (ratioSum / answerCount > MAX_NORMAL_RATIO) slowRounds++ else slowRounds = 0
        if (slowRounds == 0 || slowRounds >= MAX_SLOW_ROUNDS) raiseLimit()
        answerCount = 0
        ratioSum = 0.0
        return limit
    }

    /** Returns to the cold load after a new cold start. */
    fun reset() {
        limit = coldLoad
        answerCount = 0
        ratioSum = 0.0
        slowRounds = 0
    }

    private fun raiseLimit() {
        limit = minOf(limit + coldLoad, fullLoad)
        slowRounds = 0
    }

    private companion object {
        /** Compared with the mean of a round, because single answers of a cold server can be fast. */
        const val MAX_NORMAL_RATIO = 1.25
        const val ANSWERS_PER_LOAD_UNIT = 4

        /** A server that stays slow for this many rounds is permanently slow rather than cold. */
        const val MAX_SLOW_ROUNDS = 5
    }
}
