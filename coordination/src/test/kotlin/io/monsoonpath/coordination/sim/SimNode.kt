package io.monsoonpath.coordination.sim

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.Member
import kotlin.random.Random

/** A simulated instance, which runs at most one process at a time. */
class SimNode(
    val index: Int,
    val member: Member,
    private val network: SimNetwork,
    private val random: Random,
) {
    val id: InstanceId get() = member.id

    /** The current process, or null if none is running. */
    var process: Process? = null
        private set
    var self = PeerId(id, Incarnation(0))
        private set
    var pausedUntilMs = 0L
    private var clockOffsetMs = 0L
    private var clockPermille = 1_000L
    private var lastSnapshot: MembershipSnapshot? = null

    val isUp: Boolean get() = process != null
    val isRunning: Boolean get() = isUp && pausedUntilMs <= network.nowMs

    /** The local clock of the process. Clocks of processes differ in offset and rate. */
    val nowMs: Long get() = clockOffsetMs + network.nowMs * clockPermille / 1_000

    val standing: MembershipSnapshot get() = checkNotNull(process).membership.snapshot

    inline fun <reified T : Component> component(): T = checkNotNull(process).components.first { it is T } as T

    fun start(uptimeMs: Long) {
        self = PeerId(id, Incarnation(random.nextLong()))
        clockOffsetMs = random.nextLong(0, 1_000_000)
        clockPermille = 1_000 + random.nextLong(-network.driftPermille, network.driftPermille + 1)
        pausedUntilMs = 0
        lastSnapshot = null
        process = network.createProcess(ProcessContext(index, self, member.region, nowMs - uptimeMs, random.nextLong()))
    }

    fun stop() {
        process = null
    }

    /** Converts [localMs] of the local clock to virtual time. Exact only if all clocks run at the same rate. */
    fun virtualMs(localMs: Long): Long = (localMs - clockOffsetMs) * 1_000 / clockPermille

    fun deliver(
        from: PeerId,
        message: PeerMessage,
    ) = step({ it.membership.onMessage(nowMs, from, message) }) { it.onMessage(nowMs, from, message) }

    fun tick() = step({ it.membership.onTick(nowMs) }) { it.onTick(nowMs) }

    fun readList(list: InstanceList) = step({ it.membership.onList(nowMs, list) }) { it.onList(nowMs, list) }

    fun apply(effects: List<Effect>) {
        for (effect in effects) {
            if (effect is Effect.Send) network.send(this, effect.to, effect.message)
        }
    }

    private fun step(
        first: (Process) -> List<Effect>,
        then: (Component) -> List<Effect>,
    ) {
        val running = process ?: return
        apply(first(running))
        notifySnapshot(running)
        running.components.forEach { apply(then(it)) }
    }

    private fun notifySnapshot(running: Process) {
        val standing = running.membership.snapshot
        if (standing === lastSnapshot) return
        lastSnapshot = standing
        running.components.forEach { apply(it.onStanding(nowMs, standing)) }
    }
}
