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
 * Decides whether this process may give an order to a backend server, and under which fencing number.
 *
 * One process at a time has the right for a server. An order is issued only if the right lasts until the order has been accepted or
 * given up, [orderTimeoutMs] later, and a handover waits for the orders under way: so a server that ignores fencing numbers never hears two
 * processes at once. The class is for one thread.
 */
class Orders internal constructor(
    private val self: PeerId,
    private val orderTimeoutMs: Long,
    membership: MembershipTiming,
    startedMs: Long,
    private val safeguards: HolderSafeguards,
) {
    /** Creates the decision of the process [self], which started at [startedMs]; an order takes [orderTimeoutMs] at most. */
    constructor(self: PeerId, orderTimeoutMs: Long, membership: MembershipTiming, startedMs: Long) :
        this(self, orderTimeoutMs, membership, startedMs, HolderSafeguards())

    private class OpenOrder(
        val key: String,
        val token: FencingToken,
        val untilMs: Long,
    )

    private val succession = ResourceOwnership(HandoverKind.ORDERS, self, 1, orderTimeoutMs, membership.expiryWaitMs, startedMs, safeguards)
    private val openOrders = HashMap<BackendId, OpenOrder>()
    private var lastToken = FencingToken(0, 0, 0)

    /** Whether a leaving process has handed over its rights and may stop. */
    val isHandedOver: Boolean get() = succession.isHandedOver()

    /** Decides on the order [key] to [backend]; the same key is issued under the same number while it is under way. */
    fun issue(
        nowMs: Long,
        backend: BackendId,
        key: String,
    ): OrderDecision {
        val standing = succession.current ?: return OrderDecision.NotOwner
        val isOwned = succession.owns(resourceOf(backend), nowMs) && standing.mayAct(nowMs + orderTimeoutMs)
        val generation = succession.generation.takeIf { isOwned } ?: return OrderDecision.NotOwner
        val open = openOrders[backend]?.takeIf { nowMs < it.untilMs }
        if (open != null) return if (open.key == key) OrderDecision.Issue(open.token, open.untilMs) else OrderDecision.Wait(open.token)
        val fencingToken = nextToken(standing.revision.value, generation)
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

    /** Notes that [backend] accepted or refused the order under [fencingToken], or that its connection was closed. */
    fun finish(
        backend: BackendId,
        fencingToken: FencingToken,
    ) {
        if (openOrders[backend]?.token == fencingToken) openOrders.remove(backend)
    }

    /** Raises the next numbers above [newest], which a server named when it refused an order under this list as too old. */
    fun advancePast(newest: FencingToken) {
        if (newest > lastToken && newest.revision == succession.current?.revision?.value) lastToken = newest
    }

    /** Takes a new snapshot of membership. */
    fun onStanding(
        nowMs: Long,
        next: MembershipSnapshot,
    ): List<Effect> = succession.onMembershipChange(nowMs, next)

    /** Asks again where answers are missing; call it every 50 ms or so. */
    fun onTick(nowMs: Long): List<Effect> = succession.onTick(nowMs)

    /** Takes a message from a peer; messages of other concepts are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> =
        when {
            message is HandoverRequest && message.kind == HandoverKind.ORDERS -> handOver(nowMs, from, message)
            message is HandoverReply && message.kind == HandoverKind.ORDERS -> {
                succession.onAnswer(nowMs, from, message)
                succession.onTick(nowMs)
            }
            else -> emptyList()
        }

    /** Stays silent while an order is under way that the asker's could overtake; the asker asks again. */
    private fun handOver(
        nowMs: Long,
        from: PeerId,
        ask: HandoverRequest,
    ): List<Effect> {
        openOrders.values.removeIf { nowMs >= it.untilMs }
        val standing = succession.current ?: return emptyList()
        if (openOrders.keys.any { standing.homeOf(resourceOf(it)) == from.id }) return emptyList()
        return listOfNotNull(succession.answer(nowMs, from, ask)?.let { Effect.Send(from.id, it) })
    }

    private fun resourceOf(backend: BackendId): Resource = resourceOf(HandoverKind.ORDERS.name, backend.value)
}
