package io.monsoonpath.app.request

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceSpec

/**
 * One caller's request on its way through the filters, which fill in what later filters need.
 *
 * One coroutine at a time works on it.
 *
 * @property receivedAtMs when the request arrived, on this process's clock
 * @property requestedDeadlineMs the caller's own deadline as a duration, or null for the pipeline's
 * @property tokens takes generated tokens one by one, or null where the caller wants the answer as one body
 */
internal class Exchange(
    val id: RequestId,
    val path: String,
    val body: ByteArray,
    key: String?,
    val receivedAtMs: Long,
    val requestedDeadlineMs: Long?,
    private val currentView: () -> ConfigurationView,
    val tokens: TokenSink? = null,
) {
    private var presentedKey: String? = key
    private var reachedAnyBackend = false
    private var reachedNonIdempotentStage = false

    lateinit var route: RouteSpec
    lateinit var pipeline: PipelineSpec

    /** Whose key came with the request. */
    var identity: Identity = Identity.Missing

    /** The workspace whose key came with the request, or null on an open route. */
    var workspace: WorkspaceSpec? = null

    /** The configuration in force now; it may change between two reads. */
    val view: ConfigurationView get() = currentView()

    /** When the answer must be complete, on this process's clock. */
    val deadlineAtMs: Long
        get() = receivedAtMs + minOf(requestedDeadlineMs ?: Long.MAX_VALUE / 2, pipeline.deadlineMs)

    /** Whether any byte of the request can have reached a backend server. */
    val ran: ExecutionStatus get() = if (reachedAnyBackend) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN

    /**
     * Whether a resend would run something twice that may run only once.
     *
     * A pipeline that repeats nothing non-idempotent may run again; where all stages are idempotent and the route is not,
     * every stage counts.
     */
    val mustNotRunAgain: Boolean
        get() = if (pipeline.stages.all { it.idempotent }) reachedAnyBackend else reachedNonIdempotentStage

    /** Whether the key that the request runs for is still in force; true on an open route. */
    val isKeyActive: Boolean
        get() = workspace == null || (identity as? Identity.Known)?.let { view.isInForce(it.key) } == true

    /** Notes that bytes of a call of [stage] may have reached a backend server. */
    fun recordReached(stage: StageSpec) {
        reachedAnyBackend = true
        if (!stage.idempotent) reachedNonIdempotentStage = true
    }

    /** Returns the key as the caller sent it and forgets it, so that it goes no further than the authenticating filter. */
    fun takeKey(): String? = presentedKey.also { presentedKey = null }
}

/** Takes the tokens of one answer in order; waits while the caller cannot take more. */
internal fun interface TokenSink {
    suspend fun emit(token: Token)
}

/** The token at [index] of an answer, from 0 without gaps. */
internal class Token(
    val index: Long,
    val text: String,
)
