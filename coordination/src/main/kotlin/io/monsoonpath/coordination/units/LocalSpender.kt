package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.model.ClockMs

/** Spends from the units held here; any thread may use it. */
internal class LocalSpender(
    private val currentStanding: () -> MembershipSnapshot?,
    private val maxSpendMs: Long,
    private val safeguards: Safeguards,
) {
    /**
     * Takes up to one token from the units of [limit].
     *
     * The right is checked again after the take: a thread that was stopped in between may have taken from units that others use by now,
     * and what it took is lost.
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

    /** Puts the local part of [charge] back. */
    fun refundLocal(
        nowMs: Long,
        charge: Charge,
    ) = charge.local.forEach { it.bucket.refund(nowMs, it.amount, it.totalClipped, safeguards.refundsClipped) }

    /** Returns whether the right under which [held] was acquired lasts at [nowMs]. */
    fun mayUse(
        held: HeldUnits,
        nowMs: Long,
    ): Boolean = currentStanding().let { it != null && it.mayAct(nowMs) && it.leaseEpoch == held.epoch }
}
