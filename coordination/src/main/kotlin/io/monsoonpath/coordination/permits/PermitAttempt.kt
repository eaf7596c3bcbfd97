package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.message.PermitReply
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.InstanceId

/** A permit that this process requested, from the first request until it is finished or refused. */
internal class PermitAttempt(
    val id: GrantId,
    val backend: BackendId,
    val run: RunId,
    val startedMs: Long,
    val budgetMs: Long,
    val waitMs: Long,
    val useUntilMs: Long,
) {
    /** When the request is sent again if it is still undecided. */
    var nextSendMs = startedMs

    /** Whether the permit was granted. */
    var isGranted = false

    /** The instance that a `NOT_HOME` reply named, or null to send to the home in the current list. */
    var redirect: InstanceId? = null

    /** The instances to which the request was sent; any of them may have granted the permit. */
    val contacted = LinkedHashSet<InstanceId>()

    /** The reply that refused the permit, or null. */
    var refusal: PermitReply? = null

    /** Returns when a request that is still undecided is refused locally. */
    fun timeoutAtMs(timing: PermitTiming): Long = startedMs + waitMs.coerceAtMost(budgetMs) + ANSWER_RETRIES * timing.retryMs

    private companion object {
        const val ANSWER_RETRIES = 5
    }
}
