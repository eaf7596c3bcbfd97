package io.monsoonpath.coordination.sim

import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member

/** The simulated platform, with all published instance lists from oldest to newest. */
class SimPlatform(
    initial: List<Member>,
) {
    private val published = arrayListOf(InstanceList(ListRevision(1), initial))

    val newest: InstanceList get() = published.last()

    fun publish(members: List<Member>) {
        published += InstanceList(ListRevision(newest.revision.value + 1), members)
    }

    fun olderList(revisionsBack: Int): InstanceList = published[(published.size - 1 - revisionsBack).coerceAtLeast(0)]
}
