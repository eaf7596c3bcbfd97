package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.membership.Membership
import io.monsoonpath.coordination.membership.MembershipSnapshot
import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.DebitReply
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.sim.Component
import io.monsoonpath.coordination.sim.Fault
import io.monsoonpath.coordination.sim.Observer
import io.monsoonpath.coordination.sim.Process
import io.monsoonpath.coordination.sim.ProcessContext
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.SimNode
import io.monsoonpath.coordination.sim.simMembers
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Region
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import java.util.IdentityHashMap
import kotlin.random.Random

/** The rate limits of one process as a simulated component. [onDecided] is called with each decision on a query. */
class LimitsComponent internal constructor(
    context: ProcessContext,
    safeguards: Safeguards,
) : Component {
    val limits = RateLimits(context.self, context.region, PEER_TIMEOUT_MS, safeguards)
    var onDecided: (LimitQuery, LimitDecision) -> Unit = { _, _ -> }

    override fun onStanding(
        nowMs: Long,
        standing: MembershipSnapshot,
    ) = deliverDecisions(limits.onStanding(nowMs, standing))

    override fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ) = deliverDecisions(limits.onMessage(nowMs, from, message))

    override fun onTick(nowMs: Long) = deliverDecisions(limits.onTick(nowMs))

    fun startQuery(
        nowMs: Long,
        query: LimitQuery,
    ) = deliverDecisions(limits.startQuery(nowMs, query))

    private fun deliverDecisions(effects: List<Effect>): List<Effect> {
        effects.forEach { if (it is Effect.LimitDecided) onDecided(it.query, it.decision) }
        return effects
    }

    companion object {
        const val PEER_TIMEOUT_MS = 150L
    }
}

/** Returns a configuration with [workspaces] and one failure domain in each of [regions] regions. */
fun limitConfiguration(
    revision: Long,
    workspaces: List<WorkspaceSpec>,
    regions: Int = 1,
) = Configuration(
    revision = ConfigRevision(revision),
    domains = List(regions) { DomainSpec(FailureDomain("fd$it"), Region("r$it")) },
    pools = emptyList(),
    backends = emptyList(),
    pipelines = emptyList(),
    routes = emptyList(),
    workspaces = workspaces,
)

/** Counts the results of the requests of one workspace. */
class Tally {
    var admitted = 0
    var rateLimited = 0
    var unreachable = 0
    var notRunning = 0
    var lastRefusedMs = -1L
    val refused get() = rateLimited + unreachable
}

/** Simulates instances that admit requests, and checks each spent token at the time at which it is spent. */
class LimitSimulation internal constructor(
    private val seed: Long,
    private val workspaces: List<WorkspaceSpec>,
    instances: Int,
    initial: Int = instances,
    faults: List<Fault> = emptyList(),
    timing: MembershipTiming = MembershipTiming(leaseMs = 1_000),
    safeguards: Safeguards = Safeguards(),
    private val driftPermille: Long = 0,
    private val regions: Int = 1,
    onArrival: (SimNode, SimNode, PeerMessage) -> PeerMessage = { _, _, message -> message },
    private val onSent: (SimNode, SimNode, PeerMessage) -> Unit = { _, _, _ -> },
    private val pausePermille: Int = 0,
) : Observer {
    private class Spend(
        val atMs: Long,
        val amount: Long,
    )

    private var configuration = limitConfiguration(1, workspaces, regions)
    private val random = Random(seed xor SALT)
    private val spends = workspaces.associate { it.id to ArrayList<Spend>() }
    private val grantedAtMs = HashMap<Long, Long>()
    private val takenAtMs = IdentityHashMap<Charge, Long>()
    private var highestRate = workspaces.associate { it.id to it.rateMilliPerS }
    private var highestBurst = workspaces.associate { it.id to it.burst }
    val tallies = workspaces.associate { it.id to Tally() }
    var problem: String? = null
        private set

    /** Called with each request when it arrives at a running instance. */
    var onRequest: (SimNode, WorkspaceSpec) -> Unit = { _, _ -> }

    val network: SimNetwork =
        SimNetwork(
            seed,
            simMembers(instances, regions),
            initial,
            faults,
            this,
            driftPermille = driftPermille,
            transformMessage = onArrival,
        ) { context ->
            val membership = Membership(context.self, context.region, timing, context.startedMs, safeguards)
            val component = LimitsComponent(context, safeguards)
            component.limits.onConfiguration(context.startedMs, configuration)
            Process(membership, listOf(component))
        }

    /** Publishes new limits. Each instance applies them within two seconds. */
    fun changeLimits(change: (WorkspaceSpec) -> WorkspaceSpec) {
        val next = limitConfiguration(configuration.revision.value + 1, configuration.workspaces.map(change), regions)
        configuration = next
        highestRate = highestRate.mapValues { (id, rate) -> maxOf(rate, next.workspaces.first { it.id == id }.rateMilliPerS) }
        highestBurst = highestBurst.mapValues { (id, burst) -> maxOf(burst, next.workspaces.first { it.id == id }.burst) }
        for (node in network.nodes) {
            network.at(network.nowMs + random.nextLong(2_000)) {
                if (node.isRunning) node.component<LimitsComponent>().limits.onConfiguration(node.nowMs, next)
            }
        }
    }

    /** Schedules a request of [workspace] that arrives at [node] at [atMs]. */
    fun scheduleRequest(
        atMs: Long,
        workspace: WorkspaceId,
        node: () -> SimNode,
    ) = network.at(atMs) { handleRequest(node(), workspace) }

    private fun handleRequest(
        node: SimNode,
        workspace: WorkspaceId,
    ) {
        val tally = tallies.getValue(workspace)
        if (!node.isRunning) {
            tally.notRunning++
            return
        }
        onRequest(node, workspaces.first { it.id == workspace })
        val process = node.process
        val component = node.component<LimitsComponent>()
        component.onDecided = { query, decision -> recordDecision(node, query.workspace, decision) }
        var spentAtMs = -1L
        val clock =
            ClockMs {
                val readMs = node.nowMs
                if (spentAtMs < 0 && random.nextInt(1_000) < pausePermille) pause(node, random.nextLong(1, 6_000))
                if (spentAtMs < 0) spentAtMs = network.nowMs
                readMs
            }
        val decision = component.limits.acquire(clock, workspace)
        if (node.process !== process) return
        checkLease(node, decision)
        if (decision is LimitDecision.Admitted) takenAtMs[decision.charge] = spentAtMs
        if (decision is LimitDecision.NeedPeers) {
            takenAtMs[decision.query.charge] = spentAtMs
            node.apply(component.startQuery(node.nowMs, decision.query))
            for (waitMs in QUERY_TICK_MS..LimitsComponent.PEER_TIMEOUT_MS + QUERY_TICK_MS step QUERY_TICK_MS) {
                network.at(network.nowMs + waitMs) {
                    if (node.process === process &&
                        node.isRunning
                    ) {
                        node.apply(component.onTick(node.nowMs))
                    }
                }
            }
        } else {
            recordDecision(node, workspace, decision)
        }
    }

    /** Checks that the instance has a lease at the time at which it spends its own units. */
    private fun checkLease(
        node: SimNode,
        decision: LimitDecision,
    ) {
        val isAllowed = decision !is LimitDecision.Admitted || node.standing.mayAct(node.nowMs)
        if (!isAllowed && problem == null) problem = "${node.id} spent units without a lease at ${network.nowMs} ms"
    }

    /** Pauses [node] for [pauseMs] during a request while the other nodes continue. */
    private fun pause(
        node: SimNode,
        pauseMs: Long,
    ) {
        node.pausedUntilMs = network.nowMs + pauseMs
        network.run(network.nowMs + pauseMs - 1)
    }

    private fun recordDecision(
        node: SimNode,
        workspace: WorkspaceId,
        decision: LimitDecision,
    ) {
        val tally = tallies.getValue(workspace)
        when (decision) {
            is LimitDecision.Admitted -> {
                tally.admitted++
                val charge = decision.charge
                val localAtMs = takenAtMs[charge] ?: node.virtualMs(charge.takenAtMs)
                val recorded = spends.getValue(workspace)
                charge.local.forEach { recorded += Spend(localAtMs, it.amount) }
                charge.remote.forEach { recorded += Spend(grantedAtMs.getValue(it.debit), it.amount) }
            }
            is LimitDecision.RateLimited -> tally.rateLimited++
            else -> tally.unreachable++
        }
        if (decision !is LimitDecision.Admitted) tally.lastRefusedMs = network.nowMs
    }

    override fun onSend(
        from: SimNode,
        to: SimNode,
        message: PeerMessage,
    ) {
        if (message is DebitReply) grantedAtMs[message.query] = network.nowMs
        onSent(from, to, message)
    }

    private class ObservedLease(
        val process: Process,
        val untilMs: Long,
        val lapsedMs: Long,
    )

    private val leases = arrayOfNulls<ObservedLease>(instances)

    /** Checks that units acquired before a lease lapsed are not usable afterwards. */
    private fun checkLapse(node: SimNode) {
        val process = node.process ?: return
        val previous = leases[node.index]?.takeIf { it.process === process }
        val isLapsed = previous != null && node.nowMs >= previous.untilMs
        val lapsedMs = if (isLapsed) checkNotNull(previous).untilMs else previous?.lapsedMs ?: Long.MIN_VALUE
        leases[node.index] = ObservedLease(process, node.standing.leaseUntilMs, lapsedMs)
        val limits = node.component<LimitsComponent>().limits
        val isKept = workspaces.any { (limits.oldestUsableMs(node.nowMs, it.id) ?: Long.MAX_VALUE) < lapsedMs }
        if (isKept) problem = "${node.id} kept units after its lease lapsed at ${network.nowMs} ms"
    }

    override fun afterStep(node: SimNode) {
        if (problem != null) return
        checkLapse(node)
        for (workspace in workspaces) {
            val own = usableUnitsOf(node, workspace.id)
            if (own == 0) continue
            for (other in network.nodes) {
                if (other === node || other.member.region != node.member.region) continue
                val both = own and usableUnitsOf(other, workspace.id)
                if (both != 0) problem = "units ${both.toString(2)} of ${workspace.id} at ${node.id} and ${other.id} at ${network.nowMs} ms"
            }
        }
    }

    private fun usableUnitsOf(
        node: SimNode,
        workspace: WorkspaceId,
    ): Int = if (node.isUp) node.component<LimitsComponent>().limits.usableUnits(node.nowMs, workspace) else 0

    /** Returns for each workspace over its limit by how much a time window exceeds burst + rate * window, as an amount ([TOKEN] is one). */
    fun overAdmitted(): Map<WorkspaceId, Long> = workspaces.associate { it.id to -lowestLevel(it.id) }.filterValues { it > 0 }

    /**
     * Returns the lowest level of one bucket with the whole limit from which all spends are withdrawn.
     *
     * All time windows are within the limit exactly if this level is not negative.
     */
    private fun lowestLevel(workspace: WorkspaceId): Long {
        val ratePerMs = highestRate.getValue(workspace) * (1_000 + driftPermille) * UNIT_COUNT
        val capacity = highestBurst.getValue(workspace) * TOKEN + if (driftPermille > 0) 2 * ratePerMs else 0
        var level = capacity
        var lowest = level
        var atMs = 0L
        for (spend in spends.getValue(workspace).sortedBy { it.atMs }) {
            level = minOf(capacity, level + (spend.atMs - atMs) * ratePerMs) - spend.amount
            atMs = spend.atMs
            lowest = minOf(lowest, level)
        }
        return lowest
    }

    /** Runs until [untilMs]. Returns a description of the first violation, or null if there is none. */
    fun run(untilMs: Long): String? {
        network.run(untilMs)
        return problem ?: overAdmitted().takeIf { it.isNotEmpty() }?.let { "admitted too many: $it" }
    }

    private companion object {
        const val SALT = 0x5bd1e995L
        const val QUERY_TICK_MS = 10L
    }
}
