package io.monsoonpath.coordination

/** How an ask for a permit ended. */
sealed interface PermitOutcome {
    /** One request may be sent on the run that was asked for, until [useUntilMs] on the own clock; ask the decision again at the send. */
    data class Granted(
        val useUntilMs: Long,
    ) : PermitOutcome

    /** The run bears full load: no permit is needed on it. */
    data object Warm : PermitOutcome

    /** Nothing may be sent; an ask can succeed after [retryAfterMs]. */
    data class Refused(
        val reason: PermitRefusal,
        val retryAfterMs: Long,
    ) : PermitOutcome
}

/** Why a permit was refused. */
enum class PermitRefusal {
    /** The server bears no more for now. */
    BUSY,

    /** No home of the server's permits answered that it may grant. */
    UNREACHABLE,

    /** This process lost its right to act before the ask was decided. */
    NO_RIGHT,
}
