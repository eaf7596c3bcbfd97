package io.monsoonpath.coordination.units

import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId

/** The decision whether a request is within its workspace's rate limit over all instances. */
sealed interface LimitDecision {
    /** The request may run. [charge] records what was spent, for a refund. */
    data class Admitted(
        val charge: Charge,
    ) : LimitDecision

    /** The units held here have less than one token. Pass [query] to [RateLimits.startQuery] and wait for its decision. */
    data class NeedPeers(
        val query: LimitQuery,
    ) : LimitDecision

    /** The workspace's limit is exhausted over all instances. The next token is available after [retryAfterMs] at the earliest. */
    data class RateLimited(
        val retryAfterMs: Long,
    ) : LimitDecision

    /** Too few of the instances that hold the workspace's units answered. [peer] is one that did not, or null if unknown. */
    data class Unreachable(
        val peer: InstanceId?,
    ) : LimitDecision
}

/** The amounts withdrawn for one request: from buckets of this instance, and from peers by the number of the debit. */
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

    /** The total amount withdrawn; [TOKEN] if the request is admitted. */
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

    /** Reduces the latest remote withdrawal, which must be at least [excess], by [excess] and returns the rest. */
    internal fun reduceLatestRemote(excess: Long): Remote {
        val latest = remote.removeLast()
        val reduced = Remote(latest.peer, latest.debit, latest.amount - excess)
        remote += reduced
        amount -= excess
        return reduced
    }
}

/** A request that waits for tokens of peers. It arrived at [startedMs] on this instance's clock. */
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

    /** Returns whether an admission that is received at [nowMs] may still be used. A later one must be refunded. */
    fun isInTime(
        nowMs: Long,
        peerTimeoutMs: Long,
    ): Boolean = nowMs - startedMs <= peerTimeoutMs
}

/**
 * The latest answer of a peer to one query.
 *
 * @property remaining the amount left in the units that the peer holds
 * @property heldUnits how many units of the workspace the peer holds
 * @property isProvisional whether units or refunds are in transit, so that a retry may find more
 */
internal class PeerAnswer(
    val remaining: Long,
    val heldUnits: Int,
    val isProvisional: Boolean,
)
