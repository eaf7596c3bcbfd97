package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.CellMembers
import io.monsoonpath.coordination.membership.resourceOf
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.SimNode
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec

/** Another rate limiting algorithm for the same requests. Communication between instances is simulated without messages. */
internal sealed class Baseline(
    val name: String,
) {
    /** Decides whether a request of [workspace] that arrives at [node] is admitted, and counts it if so. */
    abstract fun admits(
        network: SimNetwork,
        node: SimNode,
        workspace: WorkspaceSpec,
    ): Boolean

    /** Each instance has a fixed share of the rate and the burst, with a burst of at least one token. */
    class StaticSplit(
        private val instances: Int,
    ) : Baseline("static 1/N") {
        private val buckets = HashMap<Pair<InstanceId, WorkspaceId>, UnitBucket>()

        override fun admits(
            network: SimNetwork,
            node: SimNode,
            workspace: WorkspaceSpec,
        ): Boolean {
            val whole = workspace.wholeLimit()
            val share = UnitLimit(whole.ratePerMs / instances, maxOf(whole.capacity / instances, TOKEN))
            return buckets
                .getOrPut(node.id to workspace.id) { UnitBucket(share, share.capacity, network.nowMs) }
                .tryTakeToken(network.nowMs)
        }
    }

    /** The owner according to the newest instance list holds the whole limit. A new owner starts with a full bucket. */
    class SingleHome : Baseline("single home") {
        private val buckets = HashMap<Pair<InstanceId, WorkspaceId>, UnitBucket>()

        override fun admits(
            network: SimNetwork,
            node: SimNode,
            workspace: WorkspaceSpec,
        ): Boolean {
            val list = network.platform.newest
            val home = checkNotNull(CellMembers(list.revision, list.members).homeOf(resourceOf("workspace", workspace.id.value)))
            if (!network.nodeOf(home).isRunning) return false
            val whole = workspace.wholeLimit()
            return buckets.getOrPut(home to workspace.id) { UnitBucket(whole, whole.capacity, network.nowMs) }.tryTakeToken(network.nowMs)
        }
    }

    /**
     * The two-bucket weighted sliding window of "Rate Limits & Concurrency (Graine v2 API)", section "The sliding window", kept by each
     * instance. The instances exchange their counts every second.
     */
    class SlidingWindow : Baseline("sliding window") {
        private val counts = HashMap<Pair<InstanceId, WorkspaceId>, HashMap<Long, Int>>()
        private val published = HashMap<Pair<InstanceId, WorkspaceId>, Map<Long, Int>>()
        private var publishedSecond = -1L

        override fun admits(
            network: SimNetwork,
            node: SimNode,
            workspace: WorkspaceSpec,
        ): Boolean {
            publishCounts(network.nowMs)
            val window = network.nowMs / WINDOW_MS
            val weight = (WINDOW_MS - network.nowMs % WINDOW_MS).toDouble() / WINDOW_MS
            val own = counts.getOrPut(node.id to workspace.id) { HashMap() }
            val others = published.filterKeys { it.second == workspace.id && it.first != node.id }.values
            val seen = others + own
            val estimated = seen.sumOf { it[window - 1] ?: 0 } * weight + seen.sumOf { it[window] ?: 0 }
            val isAllowed = estimated + 1 <= workspace.rateMilliPerS * WINDOW_MS / 1_000_000.0
            if (isAllowed) own.merge(window, 1, Int::plus)
            return isAllowed
        }

        private fun publishCounts(nowMs: Long) {
            if (nowMs / 1_000 == publishedSecond) return
            publishedSecond = nowMs / 1_000
            counts.forEach { (key, value) -> published[key] = HashMap(value) }
        }

        private companion object {
            const val WINDOW_MS = 60_000L
        }
    }
}

/** Counts the decisions of a baseline and by how many tokens it exceeds burst + rate * window. */
internal class BaselineTally(
    private val baseline: Baseline,
    private val network: SimNetwork,
) {
    private class WorkspaceTally(
        var level: Long,
        var atMs: Long,
        var lowest: Long = 0,
        var admitted: Int = 0,
        var refused: Int = 0,
    )

    private val tallies = HashMap<WorkspaceId, WorkspaceTally>()

    fun record(
        node: SimNode,
        workspace: WorkspaceSpec,
    ) {
        val whole = workspace.wholeLimit()
        val tally = tallies.getOrPut(workspace.id) { WorkspaceTally(whole.capacity, network.nowMs) }
        if (!baseline.admits(network, node, workspace)) {
            tally.refused++
            return
        }
        tally.admitted++
        tally.level = minOf(whole.capacity, tally.level + (network.nowMs - tally.atMs) * whole.ratePerMs) - TOKEN
        tally.atMs = network.nowMs
        tally.lowest = minOf(tally.lowest, tally.level)
    }

    val refusedPercent: Double get() = 100.0 * tallies.values.sumOf { it.refused } / tallies.values.sumOf { it.refused + it.admitted }
    val worstPercent: Double get() = tallies.values.maxOf { 100.0 * it.refused / (it.refused + it.admitted) }

    /** Returns by how many tokens the workspace with the highest excess exceeds its limit. */
    fun excessTokens(): Long = tallies.values.maxOf { -it.lowest.floorDiv(TOKEN) }
}

private fun WorkspaceSpec.wholeLimit() = UnitLimit(rateMilliPerS * TOKEN / 1_000_000, burst * TOKEN)

private fun UnitBucket.tryTakeToken(nowMs: Long): Boolean {
    if (level(nowMs) < TOKEN) return false
    return withdraw(nowMs, TOKEN) != null
}
