package io.monsoonpath.coordination.units

import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId

/** Whether a request is inside its workspace's limit over all instances. */
sealed interface LimitDecision {
    /** The request may run; [charge] is what was spent for it, kept for a refund. */
    data class Admitted(
        val charge: Charge,
    ) : LimitDecision

    /** The local units do not suffice: pass [query] to [RateLimits.startQuery] and wait for the decision on it. */
    data class NeedPeers(
        val query: LimitQuery,
    ) : LimitDecision

    /** The workspace's limit is used up over all instances; a token is there after [retryAfterMs] at the earliest. */
    data class RateLimited(
        val retryAfterMs: Long,
    ) : LimitDecision

    /** Too few holders of the limit answered; [peer] is one that did not, if known. */
    data class Unreachable(
        val peer: InstanceId?,
    ) : LimitDecision
}

/** What was taken for one request: from own units, and from peers under the numbers of their debits. */
class Charge internal constructor(
    internal val takenAtMs: Long,
) {
    internal class Local(
        val bucket: UnitBucket,
        val amount: Long,
        val totalClipped: Long,
    )

    internal class Remote(
        val peer: InstanceId,
        val debit: Long,
        val amount: Long,
    )

    internal val local = ArrayList<Local>(1)
    internal val remote = ArrayList<Remote>(0)

    /** The sum of what was taken; [TOKEN] once whole. */
    var amount = 0L
        private set

    internal fun addLocal(
        bucket: UnitBucket,
        taken: Withdrawal?,
    ) {
        if (taken == null) return
        local += Local(bucket, taken.amount, taken.totalClipped)
        amount += taken.amount
    }

    internal fun addRemote(
        peer: InstanceId,
        debit: Long,
        taken: Long,
    ) {
        if (taken == 0L) return
        remote += Remote(peer, debit, taken)
        amount += taken
    }

    /** Cuts the latest remote part by [excess], which it has to cover, and returns what is left of it. */
    internal fun reduceLatestRemote(excess: Long): Remote {
        val latest = remote.removeLast()
        val reduced = Remote(latest.peer, latest.debit, latest.amount - excess)
        remote += reduced
        amount -= excess
        return reduced
    }
}

/** A request that waits for tokens of peers; [startedMs] is when it arrived, on the own clock. */
class LimitQuery internal constructor(
    val workspace: WorkspaceId,
    val startedMs: Long,
    internal var charge: Charge,
) {
    internal var round = 0
    internal var retryAtMs: Long? = null
    internal var hedgeAtMs = 0L
    internal var debitsSent = 0
    internal val outstanding = HashMap<Long, InstanceId>()
    internal val answers = HashMap<InstanceId, PeerAnswer>()
    internal var isDone = false
    internal var hadTokens = false

    /** Returns whether an admission that reaches the request at [nowMs] may still be used; a later one has to be refunded. */
    fun isInTime(
        nowMs: Long,
        peerTimeoutMs: Long,
    ): Boolean = nowMs - startedMs <= peerTimeoutMs
}

/** The latest answer of a holder to one query. */
internal class PeerAnswer(
    val remaining: Long,
    val heldUnits: Int,
    val isProvisional: Boolean,
)
