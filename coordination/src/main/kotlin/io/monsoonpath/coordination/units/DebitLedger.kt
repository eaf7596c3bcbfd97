package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.Debit
import io.monsoonpath.coordination.message.Refund
import io.monsoonpath.model.WorkspaceId

/** The latest debits that peers made here, so that each is carried out and refunded at most once. */
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

    /** Returns whether [from]'s debit was carried out already. */
    fun isRecorded(
        from: PeerId,
        debit: Long,
    ): Boolean = DebitKey(from, debit) in debits

    /** Returns whether another peer than [from] was served so recently that its query may still return tokens. */
    fun servedOtherPeer(
        workspace: WorkspaceId,
        from: PeerId,
        nowMs: Long,
    ): Boolean = lastServed[workspace].let { it != null && it.peer != from && nowMs - it.atMs < CONTENTION_WINDOW_MS }

    /** Takes up to the amount wanted from [held] and remembers from where. */
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

    /** Puts back what [from] returns of a debit, never more than it took. */
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
