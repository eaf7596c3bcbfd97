package io.monsoonpath.app.request

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceSpec

/**
 * A caller's request and the state of its processing. Each filter sets the properties that later filters need.
 *
 * An exchange is used by one coroutine at a time.
 *
 * @property receivedAtMs when the request was received, in milliseconds on the clock of this process
 * @property requestedDeadlineMs the deadline requested by the caller, as a duration from receipt, or null for the pipeline's deadline
 * @property tokens receives generated tokens one by one, or null if the caller requested the answer as one body
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

    /** The identity of the caller. */
    var identity: Identity = Identity.Missing

    /** The workspace of the caller's key, or null on an open route. */
    var workspace: WorkspaceSpec? = null

    /** The active configuration, which may change between two reads. */
    val view: ConfigurationView get() = currentView()

    /** The time by which the answer must be complete, in milliseconds on the clock of this process. */
    val deadlineAtMs: Long
        get() = receivedAtMs + minOf(requestedDeadlineMs ?: Long.MAX_VALUE / 2, pipeline.deadlineMs)

    /** Tells whether any byte of the request may have reached a backend server. */
    val ran: ExecutionStatus get() = if (reachedAnyBackend) ExecutionStatus.UNKNOWN else ExecutionStatus.NOT_RUN

    /**
     * Whether running the request again could execute a non-idempotent operation twice.
     *
     * If the pipeline has non-idempotent stages, only those count. If all stages are idempotent and only the route is not,
     * every stage counts.
     */
    val mustNotRunAgain: Boolean
        get() = if (pipeline.stages.all { it.idempotent }) reachedAnyBackend else reachedNonIdempotentStage

    /** Whether the key of the request is still active; always true on an open route. */
    val isKeyActive: Boolean
        get() = workspace == null || (identity as? Identity.Known)?.let { view.isActive(it.key) } == true

    /** Records that bytes of a call of [stage] may have reached a backend server. */
    fun recordReached(stage: StageSpec) {
        reachedAnyBackend = true
        if (!stage.idempotent) reachedNonIdempotentStage = true
    }

    /** Returns the key sent by the caller and clears it, so that only the authentication filter sees it. */
    fun takeKey(): String? = presentedKey.also { presentedKey = null }
}

/** Receives the tokens of one answer in order, and suspends the sender while the caller cannot receive more. */
internal fun interface TokenSink {
    suspend fun emit(token: Token)
}

/** The token at position [index] of an answer. Indices start at 0 and have no gaps. */
internal class Token(
    val index: Long,
    val text: String,
)
