package io.monsoonpath.app.standin

/** Represents what a stand-in for a backend server does with one call. */
internal sealed interface StandInBehavior {
    /** Runs the call and answers after [delayMs] milliseconds. */
    data class Answer(
        val delayMs: Long = 0,
    ) : StandInBehavior

    /** Answers with the HTTP status [status] without running the call. */
    data class Status(
        val status: Int,
    ) : StandInBehavior

    /** Receives the call and fails without running it. */
    data object FailBeforeRun : StandInBehavior

    /** Runs the call and fails after sending a part of the answer. */
    data object FailDuringAnswer : StandInBehavior

    /** Runs the call and fails without answering. */
    data object FailAfterRun : StandInBehavior

    /** Runs the call and never answers. */
    data object Hang : StandInBehavior

    /** Runs the call and answers with [header] set to [value], or without [header] if [value] is null. */
    data class OverrideHeader(
        val header: String,
        val value: String?,
    ) : StandInBehavior

    /**
     * Runs the call and streams [count] tokens.
     *
     * @property tokenMs the delay before each token in milliseconds
     * @property failBefore the index of the token before which the stream fails, or null if it does not fail
     * @property repeat the index of the token that is sent twice, or null
     * @property skip the index of the token that is not sent, or null
     * @property hasEnd whether the end event with the token count is sent
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
