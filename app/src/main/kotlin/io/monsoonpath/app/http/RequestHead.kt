package io.monsoonpath.app.http

import io.monsoonpath.model.RequestId

/**
 * What the headers of a caller's request say.
 *
 * @property key the presented key, or null
 * @property deadlineMs the caller's deadline, or null
 * @property wantsStream whether generated tokens are to be streamed
 */
internal class RequestHead(
    val id: RequestId,
    val key: String?,
    val deadlineMs: Long?,
    val wantsStream: Boolean,
)
