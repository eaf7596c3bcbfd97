package io.monsoonpath.coordination.sim

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.Region

/** A component of a simulated process. All times are on the process's local clock. */
interface Component {
    fun onList(
        nowMs: Long,
        list: InstanceList,
    ): List<Effect> = emptyList()

    fun onStanding(
        nowMs: Long,
        standing: MembershipSnapshot,
    ): List<Effect> = emptyList()

    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> = emptyList()

    fun onTick(nowMs: Long): List<Effect> = emptyList()
}

/** The parameters of a new process. [startedMs] is far in the past for processes that run before the simulation starts. */
class ProcessContext(
    val index: Int,
    val self: PeerId,
    val region: Region,
    val startedMs: Long,
    val seed: Long,
)

/** The components of one process. [membership] processes each input first. */
class Process(
    val membership: Membership,
    val components: List<Component>,
)
