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
    private data class Key(
        val peer: PeerId,
        val debit: Long,
    )

    private class Part(
        val bucket: UnitBucket,
        var amount: Long,
        val clipped: Long,
    )

    private class LastServed(
        val peer: PeerId,
        val atMs: Long,
    )

    private val debits =
        object : LinkedHashMap<Key, List<Part>>() {
            override fun removeEldestEntry(eldest: Map.Entry<Key, List<Part>>) = size > MAX_DEBITS
        }
    private val lastServed = HashMap<WorkspaceId, LastServed>()

    /** Returns whether [from]'s debit was carried out already. */
    fun isKnown(
        from: PeerId,
        debit: Long,
    ): Boolean = Key(from, debit) in debits

    /** Returns whether another peer than [from] was served so recently that its query may still return tokens. */
    fun servedOther(
        workspace: WorkspaceId,
        from: PeerId,
        nowMs: Long,
    ): Boolean = lastServed[workspace].let { it != null && it.peer != from && nowMs - it.atMs < CONTENTION_MS }

    /** Takes up to the amount wanted from [held] and remembers from where. */
    fun grant(
        nowMs: Long,
        from: PeerId,
        debit: Debit,
        held: HeldUnits,
    ): Long {
        val parts = ArrayList<Part>(1)
        var granted = 0L
        for (bucket in held.buckets) {
            if (granted == debit.amount) break
            val taken = bucket?.take(nowMs, debit.amount - granted) ?: continue
            parts += Part(bucket, taken.amount, taken.clipped)
            granted += taken.amount
        }
        debits[Key(from, debit.query)] = parts
        if (granted > 0) lastServed[WorkspaceId(debit.workspace)] = LastServed(from, nowMs)
        return granted
    }

    /** Puts back what [from] returns of a debit, never more than it took. */
    fun refund(
        nowMs: Long,
        from: PeerId,
        refund: Refund,
    ) {
        var left = refund.amount.coerceAtLeast(0)
        for (part in debits[Key(from, refund.query)].orEmpty()) {
            val amount = minOf(left, part.amount)
            part.bucket.giveBack(nowMs, amount, part.clipped, safeguards.refundsClipped)
            part.amount -= amount
            left -= amount
        }
    }

    private companion object {
        const val MAX_DEBITS = 4_096
        const val CONTENTION_MS = 50L
    }
}
