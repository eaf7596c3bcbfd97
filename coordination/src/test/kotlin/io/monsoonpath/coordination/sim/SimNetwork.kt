package io.monsoonpath.coordination.sim

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState
import java.util.PriorityQueue
import kotlin.random.Random

/** Observes a simulation. [afterStep] is called after each input that a node processed. */
interface Observer {
    fun afterStep(node: SimNode) = Unit

    fun onSend(
        from: SimNode,
        to: SimNode,
        message: PeerMessage,
    ) = Unit
}

/**
 * Simulates instances in virtual time under a schedule of faults.
 *
 * Runs with the same [seed], [members] and [faults] are identical. The first [initial] members are running and listed at the start.
 */
class SimNetwork(
    seed: Long,
    members: List<Member>,
    initial: Int,
    private val faults: List<Fault>,
    private val observer: Observer = object : Observer {},
    private val tickIntervalMs: Long = 50,
    private val readIntervalMs: Long = 200,
    private val uptimeMs: Long = 1_000_000,
    val driftPermille: Long = 10,
    private val transformMessage: (SimNode, SimNode, PeerMessage) -> PeerMessage = { _, _, message -> message },
    val createProcess: (ProcessContext) -> Process,
) {
    private class Scheduled(
        val atMs: Long,
        val seq: Long,
        val action: () -> Unit,
    )

    private val random = Random(seed)
    private val queue = PriorityQueue<Scheduled>(compareBy<Scheduled> { it.atMs }.thenBy { it.seq })
    private var seq = 0L
    private val customActions = HashMap<String, (Long) -> Unit>()

    var nowMs = 0L
        private set
    val nodes = members.mapIndexed { i, member -> SimNode(i, member, this, Random(seed * 31 + i)) }
    private val byId = nodes.associateBy { it.id }
    val platform = SimPlatform(members.take(initial))

    init {
        nodes.take(initial).forEach { startProcess(it, uptimeMs) }
        faults.forEach { fault -> at(fault.atMs) { inject(fault) } }
    }

    /** Runs [action] at [atMs]. */
    fun at(
        atMs: Long,
        action: () -> Unit,
    ) {
        queue += Scheduled(maxOf(atMs, nowMs), seq++, action)
    }

    /** Registers [action] for each [Fault.Custom] with [name]. */
    fun onCustom(
        name: String,
        action: (Long) -> Unit,
    ) {
        customActions[name] = action
    }

    /** Runs until [untilMs]. An action may call this recursively to run other events while it is suspended. */
    fun run(untilMs: Long) {
        while (queue.isNotEmpty() && queue.peek().atMs <= untilMs) {
            val next = queue.poll()
            nowMs = maxOf(nowMs, next.atMs)
            next.action()
        }
        nowMs = maxOf(nowMs, untilMs)
    }

    fun nodeOf(id: InstanceId): SimNode = byId.getValue(id)

    /** Sends a message over the links in their current state. A message to an earlier incarnation is lost, like its connection. */
    fun send(
        from: SimNode,
        to: InstanceId,
        message: PeerMessage,
    ) {
        val target = byId[to] ?: return
        observer.onSend(from, target, message)
        if (!target.isUp || isCut(from.index, target.index)) return
        val bad = active<Fault.BadLinks> { it.forMs }
        if (bad.any { random.nextInt(100) < it.lossPercent }) return
        val copies = if (bad.any { random.nextInt(100) < it.duplicatePercent }) 2 else 1
        repeat(copies) {
            scheduleDelivery(
                from.self,
                target,
                transformMessage(from, target, message),
                1 + bad.sumOf { random.nextInt(it.maxDelayMs + 1) },
            )
        }
    }

    private fun scheduleDelivery(
        from: PeerId,
        target: SimNode,
        message: PeerMessage,
        delayMs: Int,
    ) {
        val incarnation = target.self.incarnation
        at(nowMs + delayMs) { whenRunning(target, incarnation.value) { target.deliver(from, message) } }
    }

    private fun whenRunning(
        node: SimNode,
        incarnation: Long,
        action: () -> Unit,
    ) {
        if (!node.isUp || node.self.incarnation.value != incarnation) return
        if (node.pausedUntilMs > nowMs) {
            at(node.pausedUntilMs) { whenRunning(node, incarnation, action) }
            return
        }
        action()
        observer.afterStep(node)
    }

    private fun startProcess(
        node: SimNode,
        uptimeMs: Long,
    ) {
        node.start(uptimeMs)
        val incarnation = node.self.incarnation.value
        at(nowMs + random.nextLong(tickIntervalMs)) { repeatTick(node, incarnation) }
        at(nowMs + random.nextLong(readIntervalMs)) { repeatRead(node, incarnation) }
    }

    private fun repeatTick(
        node: SimNode,
        incarnation: Long,
    ): Unit =
        whenRunning(node, incarnation) {
            node.tick()
            at(nowMs + tickIntervalMs) { repeatTick(node, incarnation) }
        }

    private fun repeatRead(
        node: SimNode,
        incarnation: Long,
    ): Unit =
        whenRunning(node, incarnation) {
            val down = active<Fault.PlatformDown> { it.forMs }.any { node.index in it.instances }
            val stale = active<Fault.PlatformStale> { it.forMs }.filter { node.index in it.instances }
            if (!down) node.readList(platform.olderList(stale.maxOfOrNull { it.revisionsBack } ?: 0))
            at(nowMs + readIntervalMs) { repeatRead(node, incarnation) }
        }

    private fun isCut(
        from: Int,
        to: Int,
    ): Boolean =
        active<Fault.Partition> { it.forMs }.any { (from in it.group) != (to in it.group) } ||
            active<Fault.OneWayCut> { it.forMs }.any { it.from == from && it.to == to }

    private inline fun <reified T : Fault> active(forMs: (T) -> Long): List<T> =
        faults.filterIsInstance<T>().filter { nowMs >= it.atMs && nowMs < it.atMs + forMs(it) }

    private fun inject(fault: Fault) {
        when (fault) {
            is Fault.Pause -> nodes[fault.instance].pausedUntilMs = nowMs + fault.forMs
            is Fault.Death -> crash(fault)
            is Fault.Leave -> publish(fault.instance, MemberState.LEAVING)
            is Fault.Drop -> publish(fault.instance, null)
            is Fault.Join -> join(nodes[fault.instance])
            is Fault.Start -> if (!nodes[fault.instance].isUp) startProcess(nodes[fault.instance], 0)
            is Fault.Custom -> customActions[fault.name]?.invoke(fault.argument)
            is Fault.Partition, is Fault.OneWayCut, is Fault.BadLinks, is Fault.PlatformDown, is Fault.PlatformStale -> Unit
        }
    }

    private fun crash(fault: Fault.Death) {
        val node = nodes[fault.instance]
        if (!node.isUp) return
        node.stop()
        fault.restartAfterMs?.let { after -> at(nowMs + after) { if (!node.isUp) startProcess(node, 0) } }
    }

    private fun join(node: SimNode) {
        if (!node.isUp) startProcess(node, 0)
        publish(node.index, MemberState.LIVE)
    }

    private fun publish(
        index: Int,
        state: MemberState?,
    ) {
        val member = nodes[index].member
        val others = platform.newest.members.filter { it.id != member.id }
        val wasListed = others.size < platform.newest.members.size
        val changed = if (state == null || (state == MemberState.LEAVING && !wasListed)) null else member.copy(state = state)
        if (others.isEmpty() && changed == null) return
        platform.publish(others + listOfNotNull(changed))
    }
}
