package io.monsoonpath.app.standin

/** What a stand-in for a backend server does with one call. */
internal sealed interface StandInAct {
    /** Runs it and answers after [tookMs]. */
    data class Answer(
        val tookMs: Long = 0,
    ) : StandInAct

    /** Answers with [status] without running it. */
    data class Status(
        val status: Int,
    ) : StandInAct

    /** Takes it in and dies without running it. */
    data object DieBeforeRun : StandInAct

    /** Runs it and dies in the midst of the answer. */
    data object DieInAnswer : StandInAct

    /** Runs it and dies without an answer. */
    data object DieAfterRun : StandInAct

    /** Runs it and never answers. */
    data object Hang : StandInAct

    /** Runs it and answers, with [header] set to [value], or left out where that is null. */
    data class Mislabel(
        val header: String,
        val value: String?,
    ) : StandInAct

    /**
     * Runs it and streams [count] tokens.
     *
     * @property tokenMs the time between tokens
     * @property dieBefore the token before which the engine dies, or null
     * @property repeat the token that is sent twice, or null
     * @property skip the token that is left out, or null
     * @property hasEnd whether the explicit end is sent
     */
    data class Tokens(
        val count: Long,
        val tokenMs: Long = 0,
        val dieBefore: Long? = null,
        val repeat: Long? = null,
        val skip: Long? = null,
        val hasEnd: Boolean = true,
    ) : StandInAct
}
