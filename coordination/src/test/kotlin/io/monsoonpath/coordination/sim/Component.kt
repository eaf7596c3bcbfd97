package io.monsoonpath.coordination.sim

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.Region

/** A decision plugged into a simulated instance; times are the instance's own. */
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

/** What a new process knows of itself; [startedMs] lies far back for processes that run since before the simulation. */
class ProcessContext(
    val index: Int,
    val self: PeerId,
    val region: Region,
    val startedMs: Long,
    val seed: Long,
)

/** The decisions of one process: [membership] sees each input first. */
class Process(
    val membership: Membership,
    val components: List<Component>,
)
