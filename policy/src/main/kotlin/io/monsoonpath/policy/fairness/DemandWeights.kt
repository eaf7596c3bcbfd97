package io.monsoonpath.policy.fairness

import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId
import kotlin.math.exp

/**
 * The demand of an instance's callers, as sent to its peers.
 *
 * @property stageMsPerS the requested stage time in milliseconds per second, by workspace
 */
data class DemandSummary(
    val instance: InstanceId,
    val stageMsPerS: Map<WorkspaceId, Double>,
)

/** A peer's summary, received at [receivedAtMs] by this instance's clock. */
data class ReceivedDemand(
    val summary: DemandSummary,
    val receivedAtMs: Long,
)

/**
 * Returns this instance's weight of each workspace, scaled so that capacity is shared by the configured weights over all instances.
 *
 * A load balancer may send most requests of a workspace to one instance. With unscaled weights, the workspace would get its share of
 * that instance only, while the same share at the other instances is hardly used. Each instance therefore multiplies the configured
 * weight by the ratio of its own demand of the workspace to the mean demand per instance, within [MIN_SCALE] and [MAX_SCALE].
 * The influence of a peer's summary decays with its age. Without recent summaries the configured weights apply.
 *
 * @param configured the configured weight of each workspace
 * @param peers the latest summary of each peer; those of this instance itself and those older than [MAX_SUMMARY_AGE_MS] are ignored
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
