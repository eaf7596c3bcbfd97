package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.model.ClockMs

/** Spends from the units held by this instance. This class is thread-safe. */
internal class LocalSpender(
    private val currentStanding: () -> MembershipSnapshot?,
    private val maxSpendMs: Long,
    private val safeguards: Safeguards,
) {
    /**
     * Withdraws up to one token from the units of [limit] that are held here.
     *
     * The lease is checked again after the withdrawal. A thread that was paused in between may have withdrawn from units that another
     * instance uses by now; the amount is then discarded.
     */
    fun takeToken(
        clock: ClockMs,
        nowMs: Long,
        limit: WorkspaceLimit,
    ): Charge {
        val held = limit.held
        if (held.count == 0 || !mayUse(held, nowMs)) return Charge(nowMs)
        val charge = Charge(nowMs)
        for (bucket in held.buckets) {
            if (bucket == null) continue
            charge.addLocal(bucket, bucket.withdraw(nowMs, TOKEN - charge.amount))
            if (charge.amount == TOKEN) break
        }
        if (!safeguards.spendRechecked) return charge
        val checkedMs = clock.nowMs()
        val isUsable =
            checkedMs - nowMs <= maxSpendMs && mayUse(held, checkedMs) && charge.local.all { checkedMs < it.bucket.usableUntilMs }
        return if (isUsable) charge else Charge(nowMs)
    }

    /** Refunds what [charge] withdrew from buckets of this instance. */
    fun refundLocal(
        nowMs: Long,
        charge: Charge,
    ) = charge.local.forEach { it.bucket.refund(nowMs, it.amount, it.totalClipped, safeguards.refundsClipped) }

    /** Returns whether the lease under which [held] was acquired is valid at [nowMs]. */
    fun mayUse(
        held: HeldUnits,
        nowMs: Long,
    ): Boolean = currentStanding().let { it != null && it.mayAct(nowMs) && it.leaseEpoch == held.epoch }
}
