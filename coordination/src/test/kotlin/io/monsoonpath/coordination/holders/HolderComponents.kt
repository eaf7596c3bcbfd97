package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.claims.ClaimTiming
import io.monsoonpath.coordination.claims.Claims
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Standing
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.orders.Orders
import io.monsoonpath.coordination.permits.PermitLimits
import io.monsoonpath.coordination.permits.PermitTiming
import io.monsoonpath.coordination.permits.Permits
import io.monsoonpath.coordination.sim.Component
import io.monsoonpath.coordination.sim.Process
import io.monsoonpath.coordination.sim.ProcessContext
import io.monsoonpath.coordination.succession.HolderSafeguards
import io.monsoonpath.model.BackendId

internal val RIGHTS = MembershipTiming(rightMs = 1_000)
internal val CLAIM_TIMING = ClaimTiming(ttlMs = 3_000, useWithinMs = 500, retryMs = 50)
internal val PERMIT_TIMING = PermitTiming(maxBudgetMs = 2_500, graceMs = 200, retryMs = 50, maxWaiting = 4)
internal val LOAD_TIMING =
    PermitTiming(maxBudgetMs = 800, graceMs = 200, retryMs = 50, startWindowMs = 2_000, startWithinMs = 300)
internal const val ORDER_MS = 300L
internal val STORE = BackendId("weight-store")
internal val STORE_LIMITS = PermitLimits(coldLoad = 2, fullLoad = 2, startsPerWindow = 3)

/** The decisions under test in one simulated process; answers to the request path wait in lists. */
internal class Holders(
    context: ProcessContext,
    serverLimits: Map<BackendId, PermitLimits>,
    safeguards: HolderSafeguards,
    rights: MembershipTiming = RIGHTS,
) : Component {
    val self: PeerId = context.self
    val claims = Claims(context.self, CLAIM_TIMING, rights, context.startedMs, safeguards)
    val permits = Permits(context.self, HandoverKind.PERMITS, PERMIT_TIMING, rights, context.startedMs, safeguards)
    val loads = Permits(context.self, HandoverKind.LOADS, LOAD_TIMING, rights, context.startedMs, safeguards)
    val orders = Orders(context.self, ORDER_MS, rights, context.startedMs, safeguards)
    private val decided = HashMap<Long, (Effect) -> Unit>()
    var nextToken = 1L

    init {
        permits.onLimits(serverLimits)
        loads.onLimits(mapOf(STORE to STORE_LIMITS))
    }

    /** Calls [action] with the answer that carries [token]. */
    fun onDecided(
        token: Long,
        action: (Effect) -> Unit,
    ) {
        decided[token] = action
    }

    /** Passes answers on to those that wait, and returns the other effects. */
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
        standing: Standing,
    ) = route(
        claims.onStanding(nowMs, standing) + permits.onStanding(nowMs, standing) +
            loads.onStanding(nowMs, standing) + orders.onStanding(nowMs, standing),
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
    rights: MembershipTiming = RIGHTS,
) = Process(
    Membership(context.self, context.region, rights, context.startedMs),
    listOf(Holders(context, serverLimits, safeguards, rights)),
)
