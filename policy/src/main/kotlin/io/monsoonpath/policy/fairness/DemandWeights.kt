package io.monsoonpath.policy.fairness

import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId
import kotlin.math.exp

/**
 * What an instance tells its peers of its callers' demand.
 *
 * @property stageMsPerS the stage time asked for in a second, by workspace
 */
data class DemandSummary(
    val instance: InstanceId,
    val stageMsPerS: Map<WorkspaceId, Double>,
)

/** A peer's summary as it arrived at [receivedAtMs] on this instance's clock. */
data class ReceivedDemand(
    val summary: DemandSummary,
    val receivedAtMs: Long,
)

/**
 * Returns the weights that this instance is to give its workspaces, so that all instances together share by the configured weights.
 *
 * A balancer may send most of one workspace's requests to one instance. There it would get one workspace's share of one instance
 * while it has the same share reserved at all others. Each instance therefore scales a weight by the part of the workspace's demand
 * that it sees. Old summaries lose their influence, and with none at all the configured weights stand.
 *
 * @param configured the configured weights
 */
fun demandWeights(
    configured: Map<WorkspaceId, Int>,
    own: DemandSummary,
    peers: List<ReceivedDemand>,
    nowMs: Long,
): Map<WorkspaceId, Double> {
    val recentPeers = peers.filter { it.summary.instance != own.instance && nowMs - it.receivedAtMs <= MAX_SUMMARY_AGE_MS }
    return configured.mapValues { (workspace, weight) -> weight * demandScale(workspace, own, recentPeers, nowMs) }
}

private fun demandScale(
    workspace: WorkspaceId,
    own: DemandSummary,
    recentPeers: List<ReceivedDemand>,
    nowMs: Long,
): Double {
    val ownMs = own.stageMsPerS[workspace] ?: 0.0
    var weightedMs = 0.0
    var totalWeight = 0.0
    for (peer in recentPeers) {
        val decay = exp(-(nowMs - peer.receivedAtMs).coerceAtLeast(0) / SUMMARY_DECAY_MS)
        totalWeight += decay
        weightedMs += decay * (peer.summary.stageMsPerS[workspace] ?: 0.0)
    }
    val meanMs = (ownMs + weightedMs) / (1 + totalWeight)
    if (meanMs <= 0) return 1.0
    return (ownMs / meanMs).coerceIn(MIN_SCALE, MAX_SCALE)
}

private const val MAX_SUMMARY_AGE_MS = 10_000L
private const val SUMMARY_DECAY_MS = 5_000.0
private const val MIN_SCALE = 0.1
private const val MAX_SCALE = 410.0
