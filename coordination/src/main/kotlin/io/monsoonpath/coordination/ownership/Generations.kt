package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/** Numbers the processes of each instance id in the order of their starts, as far as the running peers remember. */
internal class Generations(
    private val self: PeerId,
) {
    private class Entry(
        val incarnation: Incarnation,
        val generation: Int,
    )

    private val latest = HashMap<InstanceId, Entry>()
    private val confirmations = HashMap<InstanceId, Int>()

    /** The lowest number that this process can have. */
    var own = 1
        private set

    /** Notes [generation] of [peer], or the next one if that was another process's; returns the noted number. */
    fun register(
        peer: PeerId,
        generation: Int,
    ): Int {
        val last = latest[peer.id]
        val minimum = if (last == null || last.incarnation == peer.incarnation) last?.generation ?: 0 else last.generation + 1
        val registered = maxOf(minimum, generation)
        latest[peer.id] = Entry(peer.incarnation, registered)
        return registered
    }

    fun recordConfirmation(
        from: PeerId,
        registered: Int,
    ) {
        own = maxOf(own, registered)
        confirmations[from.id] = registered
    }

    /** Forgets who noted the own number, because a new list may have members that did not. */
    fun clearConfirmations() = confirmations.clear()

    /**
     * Returns the own number once a majority of the other live members of [cell] has noted it.
     *
     * The own process is not counted: the next one of its id will not remember.
     */
    fun confirmed(cell: CellMembers): Int? {
        val others = cell.liveIds() - self.id
        val needed = if (others.isEmpty()) 0 else others.size / 2 + 1
        return own.takeIf { others.count(::isConfirmedBy) >= needed }
    }

    /** Returns the members of [cell] to ask until a majority has noted the own number. */
    fun unconfirmed(cell: CellMembers): List<InstanceId> =
        if (confirmed(cell) != null) emptyList() else (cell.liveIds() - self.id).filterNot(::isConfirmedBy)

    private fun isConfirmedBy(id: InstanceId) = confirmations[id] == own
}
