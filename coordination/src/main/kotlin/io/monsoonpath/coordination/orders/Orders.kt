package io.monsoonpath.coordination.orders

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Resource
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.message.HandoverKind
import io.monsoonpath.coordination.message.HandoverReply
import io.monsoonpath.coordination.message.HandoverRequest
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.ownership.HolderSafeguards
import io.monsoonpath.coordination.ownership.ResourceOwnership
import io.monsoonpath.model.BackendId

/**
 * Decides whether this process may issue an order to a backend server, and with which fencing token.
 *
 * Each backend server has one owner at a time. An order is issued only if the owner's lease lasts until the order has been accepted or
 * has timed out after [orderTimeoutMs], and ownership is not handed over while an order is in progress. A backend server that ignores
 * fencing tokens therefore never receives orders from two processes at the same time.
 *
 * This class is not thread-safe.
 */
class Orders internal constructor(
    private val self: PeerId,
    private val orderTimeoutMs: Long,
    membership: MembershipTiming,
    startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    /** Creates the orders of the process [self], which started at [startedMs]. An order takes [orderTimeoutMs] at most. */
    constructor(self: PeerId, orderTimeoutMs: Long, membership: MembershipTiming, startedMs: Long) :
        this(self, orderTimeoutMs, membership, startedMs, HolderSafeguards())

    private class OpenOrder(
        val key: String,
        val token: FencingToken,
        val untilMs: Long,
    )

    private val ownership = ResourceOwnership(HandoverKind.ORDERS, self, 1, orderTimeoutMs, membership.expiryWaitMs, startedMs, safeguards)
    private val openOrders = HashMap<BackendId, OpenOrder>()
    private var lastToken = FencingToken(0, 0, 0)

    /** Whether this process has handed over the backend servers that it owned, so that it may stop if it is leaving. */
    val isHandedOver: Boolean get() = ownership.isHandedOver()

    /** Decides on the order [key] to [backend]. While the order is in progress, the same key receives the same token. */
    fun issue(
        nowMs: Long,
        backend: BackendId,
        key: String,
    ): OrderDecision {
        val snapshot = ownership.current ?: return OrderDecision.NotOwner
        val isOwned = ownership.owns(resourceOf(backend), nowMs) && snapshot.mayAct(nowMs + orderTimeoutMs)
        val generation = ownership.generation.takeIf { isOwned } ?: return OrderDecision.NotOwner
        val open = openOrders[backend]?.takeIf { nowMs < it.untilMs }
        if (open != null) return if (open.key == key) OrderDecision.Issue(open.token, open.untilMs) else OrderDecision.Wait(open.token)
        val fencingToken = nextToken(snapshot.revision.value, generation)
        openOrders[backend] = OpenOrder(key, fencingToken, nowMs + orderTimeoutMs)
        return OrderDecision.Issue(fencingToken, nowMs + orderTimeoutMs)
    }

    private fun nextToken(
        revision: Long,
        generation: Int,
    ): FencingToken {
        val usedGeneration = if (safeguards.fencingRises) generation else 1
        val usedRevision = if (safeguards.fencingRises) revision else 0
        val floor = FencingToken(usedRevision, usedGeneration, 0)
        val base = if (lastToken > floor && lastToken.revision == usedRevision) lastToken else floor
        lastToken = base.copy(counter = base.counter + 1)
        return lastToken
    }

    /** Ends the order with [fencingToken] after [backend] accepted or refused it, or after the connection was closed. */
    fun finish(
        backend: BackendId,
        fencingToken: FencingToken,
    ) {
        if (openOrders[backend]?.token == fencingToken) openOrders.remove(backend)
    }

    /**
     * Makes later tokens greater than [newest], which a backend server reported when it refused an order as outdated.
     *
     * A token of another instance list than the current one is ignored.
     */
    fun advancePast(newest: FencingToken) {
        if (newest > lastToken && newest.revision == ownership.current?.revision?.value) lastToken = newest
    }

    /** Applies a new snapshot of the membership. */
    fun onStanding(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> = ownership.onMembershipChange(nowMs, next)

    /** Repeats unanswered handover requests. Call it about every 50 ms. */
    fun onTick(nowMs: Long): List<Effect> = ownership.onTick(nowMs)

    /** Handles a message from a peer. Messages that do not concern orders are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when {
            message is HandoverRequest && message.kind == HandoverKind.ORDERS -> handOver(nowMs, from, message)
            message is HandoverReply && message.kind == HandoverKind.ORDERS -> {
                ownership.onAnswer(nowMs, from, message)
                ownership.onTick(nowMs)
            }
            else -> emptyList()
        }

    /** Sends no answer while an order to a backend server that [from] will own is in progress; [from] repeats its request. */
    private fun handOver(
        nowMs: Long,
        from: PeerId,
        request: HandoverRequest,
    ): List<Effect> {
        openOrders.values.removeIf { nowMs >= it.untilMs }
        val snapshot = ownership.current ?: return emptyList()
        if (openOrders.keys.any { snapshot.homeOf(resourceOf(it)) == from.id }) return emptyList()
        return listOfNotNull(ownership.answer(nowMs, from, request)?.let { Effect.Send(from.id, it) })
    }

    private fun resourceOf(backend: BackendId): Resource = resourceOf(HandoverKind.ORDERS.name, backend.value)
}
