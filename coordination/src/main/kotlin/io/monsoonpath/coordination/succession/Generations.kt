package io.monsoonpath.coordination.succession

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellList
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** Numbers the processes of each instance id in the order of their starts, as far as the running peers remember. */
internal class Generations(
    private val self: PeerId,
) {
    private class Known(
        val incarnation: Incarnation,
        val generation: Int,
    )

    private val known = HashMap<InstanceId, Known>()
    private val confirming = HashMap<InstanceId, Int>()

    /** The lowest number that this process can have. */
    var own = 1
        private set

    /** Notes [generation] of [peer] if it is above all before; returns the lowest that the peer may use. */
    fun register(
        peer: PeerId,
        generation: Int,
    ): Int {
        val last = known[peer.id]
        val least = if (last == null || last.incarnation == peer.incarnation) last?.generation ?: 0 else last.generation + 1
        if (generation >= least) known[peer.id] = Known(peer.incarnation, generation)
        return maxOf(least, generation)
    }

    fun onAnswer(
        from: PeerId,
        least: Int,
    ) {
        own = maxOf(own, least)
        confirming[from.id] = least
    }

    /** Returns the own number once a majority of [cell] has noted it. */
    fun confirmed(cell: CellList): Int? = own.takeIf { 1 + cell.members.count { isConfirmedBy(it.id) } >= cell.confirmQuorum }

    /** Returns the members of [cell] to ask until a majority has noted the own number. */
    fun unconfirmed(cell: CellList): List<InstanceId> =
        if (confirmed(cell) != null) emptyList() else cell.members.map { it.id }.filter { it != self.id && !isConfirmedBy(it) }

    private fun isConfirmedBy(id: InstanceId) = confirming[id] == own
}
