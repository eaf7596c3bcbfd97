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

    /** Notes [generation] of [peer], or the next one if that was another process's; returns the noted number. */
    fun register(
        peer: PeerId,
        generation: Int,
    ): Int {
        val last = known[peer.id]
        val least = if (last == null || last.incarnation == peer.incarnation) last?.generation ?: 0 else last.generation + 1
        val noted = maxOf(least, generation)
        known[peer.id] = Known(peer.incarnation, noted)
        return noted
    }

    fun onAnswer(
        from: PeerId,
        noted: Int,
    ) {
        own = maxOf(own, noted)
        confirming[from.id] = noted
    }

    /** Forgets who noted the own number, because a new list may have members that did not. */
    fun startConfirming() = confirming.clear()

    /**
     * Returns the own number once a majority of the other live members of [cell] has noted it.
     *
     * The own process is not counted: the next one of its id will not remember.
     */
    fun confirmed(cell: CellList): Int? {
        val others = cell.liveIds() - self.id
        val needed = if (others.isEmpty()) 0 else others.size / 2 + 1
        return own.takeIf { others.count(::isConfirmedBy) >= needed }
    }

    /** Returns the members of [cell] to ask until a majority has noted the own number. */
    fun unconfirmed(cell: CellList): List<InstanceId> =
        if (confirmed(cell) != null) emptyList() else (cell.liveIds() - self.id).filterNot(::isConfirmedBy)

    private fun isConfirmedBy(id: InstanceId) = confirming[id] == own
}
