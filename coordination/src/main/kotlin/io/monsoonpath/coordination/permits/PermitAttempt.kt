package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.PermitReply
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.InstanceId

/** An ask for a permit as the process that wants to send sees it. */
internal class PermitAttempt(
    val id: GrantId,
    val backend: BackendId,
    val run: RunId,
    val startedMs: Long,
    val budgetMs: Long,
    val waitMs: Long,
    val useUntilMs: Long,
) {
    /** When the home is asked again. */
    var nextSendMs = startedMs

    /** Whether the permit was granted. */
    var isGranted = false

    /** The instance that the home named to ask instead. */
    var redirect: InstanceId? = null

    /** The instances that were asked, and so may have granted. */
    val contacted = LinkedHashSet<InstanceId>()

    /** The last answer other than a grant. */
    var refusal: PermitReply? = null

    /** When an ask without an answer is given up. */
    fun timeoutAtMs(timing: PermitTiming): Long = startedMs + waitMs.coerceAtMost(budgetMs) + ANSWER_RETRIES * timing.retryMs

    private companion object {
        const val ANSWER_RETRIES = 5
    }
}
