package io.monsoonpath.app.standin

/**
 * Represents one call as a stand-in for a backend server received it.
 *
 * @property ordinal the position of the call among all calls that this stand-in received, starting at 1
 * @property bytes the complete request: method, path and query, headers, body and trailers
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
