package io.monsoonpath.app.standin

/** What a stand-in for a backend server does with one call. */
internal sealed interface StandInBehavior {
    /** Runs it and answers after [delayMs]. */
    data class Answer(
        val delayMs: Long = 0,
    ) : StandInBehavior

    /** Answers with [status] without running it. */
    data class Status(
        val status: Int,
    ) : StandInBehavior

    /** Takes it in and dies without running it. */
    data object FailBeforeRun : StandInBehavior

    /** Runs it and dies in the midst of the answer. */
    data object FailDuringAnswer : StandInBehavior

    /** Runs it and dies without an answer. */
    data object FailAfterRun : StandInBehavior

    /** Runs it and never answers. */
    data object Hang : StandInBehavior

    /** Runs it and answers, with [header] set to [value], or left out where that is null. */
    data class OverrideHeader(
        val header: String,
        val value: String?,
    ) : StandInBehavior

    /**
     * Runs it and streams [count] tokens.
     *
     * @property tokenMs the time between tokens
     * @property failBefore the token before which the engine dies, or null
     * @property repeat the token that is sent twice, or null
     * @property skip the token that is left out, or null
     * @property hasEnd whether the explicit end is sent
     */
    data class Tokens(
        val count: Long,
        val tokenMs: Long = 0,
        val failBefore: Long? = null,
        val repeat: Long? = null,
        val skip: Long? = null,
        val hasEnd: Boolean = true,
    ) : StandInBehavior
}
