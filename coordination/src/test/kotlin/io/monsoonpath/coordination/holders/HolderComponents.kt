package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.claims.ClaimTiming
import io.monsoonpath.coordination.claims.Claims
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.orders.Orders
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.permits.PermitLimits
import io.monsoonpath.coordination.permits.PermitTiming
import io.monsoonpath.coordination.permits.Permits
import io.monsoonpath.coordination.sim.Component
import io.monsoonpath.coordination.sim.Process
import io.monsoonpath.coordination.sim.ProcessContext
import io.monsoonpath.model.BackendId

internal val LEASE_TIMING = MembershipTiming(leaseMs = 1_000)
internal val CLAIM_TIMING = ClaimTiming(ttlMs = 3_000, useWithinMs = 500, retryMs = 50)
internal val PERMIT_TIMING = PermitTiming(maxBudgetMs = 2_500, graceMs = 200, retryMs = 50, maxWaiting = 4)
internal val LOAD_TIMING =
    PermitTiming(maxBudgetMs = 800, graceMs = 200, retryMs = 50, startWindowMs = 2_000, startWithinMs = 300)
internal const val ORDER_MS = 300L
internal val STORE = BackendId("weight-store")
internal val STORE_LIMITS = PermitLimits(coldLoad = 2, fullLoad = 2, startsPerWindow = 3)

/** Runs the components under test in one simulated process and passes their outcomes to callbacks. */
internal class HolderComponent(
    context: ProcessContext,
    serverLimits: Map<BackendId, PermitLimits>,
    safeguards: HolderSafeguards,
    membershipTiming: MembershipTiming = LEASE_TIMING,
) : Component {
    val self: PeerId = context.self
    val claims = Claims(context.self, CLAIM_TIMING, membershipTiming, context.startedMs, safeguards)
    val permits = Permits(context.self, HandoverKind.PERMITS, PERMIT_TIMING, membershipTiming, context.startedMs, safeguards)
    val loads = Permits(context.self, HandoverKind.LOADS, LOAD_TIMING, membershipTiming, context.startedMs, safeguards)
    val orders = Orders(context.self, ORDER_MS, membershipTiming, context.startedMs, safeguards)
    private val decided = HashMap<Long, (Effect) -> Unit>()
    var nextToken = 1L

    init {
        permits.updateLimits(serverLimits)
        loads.updateLimits(mapOf(STORE to STORE_LIMITS))
    }

    /** Calls [action] with the effect that decides [token]. */
    fun awaitOutcome(
        token: Long,
        action: (Effect) -> Unit,
    ) {
        decided[token] = action
    }

    /** Calls the actions registered for the outcomes among [effects]; returns all effects. */
    fun route(effects: List<Effect>): List<Effect> {
        for (effect in effects) {
            val token =
                when (effect) {
                    is Effect.ClaimDecided -> effect.token
                    is Effect.PermitDecided -> effect.token
                    else -> null
                }
            decided.remove(token)?.invoke(effect)
        }
        return effects
    }

    override fun onStanding(
        nowMs: Long,
        standing: MembershipSnapshot,
    ) = route(
        claims.onStanding(nowMs, standing) + permits.onMembershipChange(nowMs, standing) +
            loads.onMembershipChange(nowMs, standing) + orders.onStanding(nowMs, standing),
    )

    override fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ) = route(
        claims.onMessage(nowMs, from, message) + permits.onMessage(nowMs, from, message) +
            loads.onMessage(nowMs, from, message) + orders.onMessage(nowMs, from, message),
    )

    override fun onTick(nowMs: Long) = route(claims.onTick(nowMs) + permits.onTick(nowMs) + loads.onTick(nowMs) + orders.onTick(nowMs))

    val isHandedOver: Boolean
        get() = claims.isHandedOver && permits.isHandedOver && loads.isHandedOver && orders.isHandedOver
}

internal fun holderProcess(
    context: ProcessContext,
    serverLimits: Map<BackendId, PermitLimits>,
    safeguards: HolderSafeguards,
    membershipTiming: MembershipTiming = LEASE_TIMING,
) = Process(
    Membership(context.self, context.region, membershipTiming, context.startedMs),
    listOf(HolderComponent(context, serverLimits, safeguards, membershipTiming)),
)
