package io.monsoonpath.app.http

import io.monsoonpath.model.RequestId

/**
 * Represents the parsed headers of a caller's request.
 *
 * @property key the API key that the caller presented, or null if there is none
 * @property deadlineMs the caller's deadline in milliseconds after the arrival of the request, or null if there is none
 * @property wantsStream whether the caller wants generated tokens as a stream
 */
internal class RequestHead(
    val id: RequestId,
    val key: String?,
    val deadlineMs: Long?,
    val wantsStream: Boolean,
)
