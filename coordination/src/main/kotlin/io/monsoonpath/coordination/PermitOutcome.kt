package io.monsoonpath.coordination

/** The result of a permit request. */
sealed interface PermitOutcome {
    /** One request may be sent to the requested run before [useUntilMs] on the local clock. Check the lease again when sending. */
    data class Granted(
        val useUntilMs: Long,
    ) : PermitOutcome

    /** The run is warmed up to full load, so requests to it need no permit. */
    data object Warm : PermitOutcome

    /** Nothing may be sent. A new request may succeed after [retryAfterMs]. */
    data class Refused(
        val reason: PermitRefusal,
        val retryAfterMs: Long,
    ) : PermitOutcome
}

/** Why a permit was refused. */
enum class PermitRefusal {
    /** The backend server currently accepts no further requests. */
    BUSY,

    /** No owner of the backend server's permits replied that it may grant one. */
    UNREACHABLE,

    /** This process's lease expired before the request was decided. */
    NO_RIGHT,
}
