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
    private var answerCount = 0
    private var ratioSum = 0.0
    private var slowRounds = 0

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

    /** Returns to the cold load, after a new cold start. */
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
        /** The mean of a round is compared, because single answers of a cold server can be fast. */
        const val MAX_NORMAL_RATIO = 1.25
        const val ANSWERS_PER_LOAD_UNIT = 4

        /** A server that stays slow for this many rounds is slow for good and not cold. */
        const val MAX_SLOW_ROUNDS = 5
    }
}
