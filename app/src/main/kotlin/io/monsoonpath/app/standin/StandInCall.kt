package io.monsoonpath.app.standin

/**
 * One call as a stand-in for a backend server received it.
 *
 * @property ordinal the number of the call at this stand-in, from 1
 * @property bytes everything that was received: path and query, headers, body and trailers
 */
internal class StandInCall(
    val ordinal: Int,
    val requestId: String,
    val stage: String,
    val attempt: String,
    val deadlineMs: Long?,
    val resumeFrom: Long,
    val bytes: ByteArray,
)
