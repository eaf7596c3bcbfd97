package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.Debit
import io.monsoonpath.coordination.message.Refund
import io.monsoonpath.model.WorkspaceId

/** Records the latest debits of peers, so that each is applied at most once and refunded by no more than it withdrew. */
internal class DebitLedger(
    private val safeguards: Safeguards,
) {
    private data class DebitKey(
        val peer: PeerId,
        val debit: Long,
    )

    private class BucketDebit(
        val bucket: UnitBucket,
        var amount: Long,
        val totalClipped: Long,
    )

    private class LastServed(
        val peer: PeerId,
        val atMs: Long,
    )

    private val debits =
        object : LinkedHashMap<DebitKey, List<BucketDebit>>() {
            override fun removeEldestEntry(eldest: Map.Entry<DebitKey, List<BucketDebit>>) = size > MAX_RECORDED_DEBITS
        }
    private val lastServed = HashMap<WorkspaceId, LastServed>()

    /** Returns whether [debit] of [from] was applied before. */
    fun isRecorded(
        from: PeerId,
        debit: Long,
    ): Boolean = DebitKey(from, debit) in debits

    /** Returns whether a debit of another peer than [from] was granted so recently that the peer may still refund it. */
    fun servedOtherPeer(
        workspace: WorkspaceId,
        from: PeerId,
        nowMs: Long,
    ): Boolean = lastServed[workspace].let { it != null && it.peer != from && nowMs - it.atMs < CONTENTION_WINDOW_MS }

    /** Withdraws up to the requested amount from [held], records the debit and returns the granted amount. */
    fun grant(
        nowMs: Long,
        from: PeerId,
        debit: Debit,
        held: HeldUnits,
    ): Long {
        val bucketDebits = ArrayList<BucketDebit>(1)
        var granted = 0L
        for (bucket in held.buckets) {
            if (granted == debit.amount) break
            val withdrawal = bucket?.withdraw(nowMs, debit.amount - granted) ?: continue
            bucketDebits += BucketDebit(bucket, withdrawal.amount, withdrawal.totalClipped)
            granted += withdrawal.amount
        }
        debits[DebitKey(from, debit.query)] = bucketDebits
        if (granted > 0) lastServed[WorkspaceId(debit.workspace)] = LastServed(from, nowMs)
        return granted
    }

    /** Returns a refund of [from] to the buckets that the debit withdrew from, up to the amount withdrawn. */
    fun refund(
        nowMs: Long,
        from: PeerId,
        refund: Refund,
    ) {
        var remaining = refund.amount.coerceAtLeast(0)
        for (bucketDebit in debits[DebitKey(from, refund.query)].orEmpty()) {
            val amount = minOf(remaining, bucketDebit.amount)
            bucketDebit.bucket.refund(nowMs, amount, bucketDebit.totalClipped, safeguards.refundsClipped)
            bucketDebit.amount -= amount
            remaining -= amount
        }
    }

    private companion object {
        const val MAX_RECORDED_DEBITS = 4_096
        const val CONTENTION_WINDOW_MS = 50L
    }
}
