package io.monsoonpath.app.request

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.WorkspaceSpec

/**
 * One caller's request on its way through the filters, which fill in what later filters need.
 *
 * @property key the key as the caller sent it; it goes no further than the authenticating filter
 * @property receivedAtMs when the request arrived, on this process's clock
 * @property requestedDeadlineMs the caller's own deadline as a duration, or null for the pipeline's
 */
internal class Exchange(
    val id: RequestId,
    val path: String,
    val body: ByteArray,
    key: String?,
    val receivedAtMs: Long,
    val requestedDeadlineMs: Long?,
    val view: ConfigurationView,
) {
    var key: String? = key
        private set
    lateinit var route: RouteSpec
    lateinit var pipeline: PipelineSpec

    /** The workspace whose key came with the request, or null on an open route. */
    var workspace: WorkspaceSpec? = null

    /** When the answer must be complete, on this process's clock. */
    val deadlineAtMs: Long
        get() = receivedAtMs + minOf(requestedDeadlineMs ?: Long.MAX_VALUE / 2, pipeline.deadlineMs)

    /** Forgets the key once it has been checked. */
    fun dropKey() {
        key = null
    }
}
