package io.monsoonpath.coordination.ownership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId

/**
 * Assigns rising generation numbers to the successive processes of each instance id.
 *
 * The numbers are held in the memory of the peers only. A number is used once a majority of the other live members has recorded it, so
 * that the next process of the same id receives a higher one.
 */
internal class Generations(
    private val self: PeerId,
) {
    private class Entry(
        val incarnation: Incarnation,
        val generation: Int,
    )

    private val latest = HashMap<InstanceId, Entry>()
    private val confirmations = HashMap<InstanceId, Int>()

    /** The highest generation that a peer has recorded for this process, or 1. */
    var own = 1
        private set

    /**
     * Records a generation for [peer] and returns it.
     *
     * It is at least [generation], at least the recorded one for the same process, and higher than that of an earlier process of the id.
     */
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

    /** Records that [from] has [registered] as the generation of this process. */
    fun recordConfirmation(
        from: PeerId,
        registered: Int,
    ) {
        own = maxOf(own, registered)
        confirmations[from.id] = registered
    }

    /** Discards all confirmations, because a new list may have members that have not recorded the generation. */
    fun clearConfirmations() = confirmations.clear()

    /**
     * Returns [own] if a majority of the other live members of [cell] has recorded it, or null otherwise.
     *
     * This process doesn't count towards the majority, because its memory is lost when the next process of its id starts.
     */
    fun confirmed(cell: CellMembers): Int? {
        val others = cell.liveIds() - self.id
        val needed = if (others.isEmpty()) 0 else others.size / 2 + 1
        return own.takeIf { others.count(::isConfirmedBy) >= needed }
    }

    /** Returns the members of [cell] that have yet to record [own], or none if a majority has. */
    fun unconfirmed(cell: CellMembers): List<InstanceId> =
        if (confirmed(cell) != null) emptyList() else (cell.liveIds() - self.id).filterNot(::isConfirmedBy)

    private fun isConfirmedBy(id: InstanceId) = confirmations[id] == own
}
