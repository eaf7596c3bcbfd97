package io.monsoonpath.policy.backend

import io.monsoonpath.model.BackendId

/** Identifies one start of a backend server; [startedAtUnixMs] is by the clock of the server. */
data class Incarnation(
    val id: BackendId,
    val startedAtUnixMs: Long,
)

/** Whether a backend server may receive a new request, by what it stated in its own responses. */
sealed interface Availability {
    /** The server may receive a request. */
    data object Available : Availability

    /** The server has stated that it is leaving, first at [sinceMs]. */
    data class Leaving(
        val sinceMs: Long,
    ) : Availability

    /** The server has refused a request at [sinceMs] and may receive the next one at [untilMs]. */
    data class Paused(
        val sinceMs: Long,
        val untilMs: Long,
    ) : Availability

    /** The pause that began at [sinceMs] is over, and the first request after it is unanswered; the next one may follow at [untilMs]. */
    data class Returning(
        val sinceMs: Long,
        val untilMs: Long,
    ) : Availability
}
