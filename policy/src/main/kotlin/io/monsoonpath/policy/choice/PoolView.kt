package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId

/**
 * A backend server that can receive new work, as seen from one instance.
 *
 * @property backend the tracking record of the server, shared by successive views
 * @property roundTripMs the network round-trip time to the server, in milliseconds
 * @property paceFactor how much longer than usual work is expected to take on the server according to the paces that it reports, or null
 *   to use its measured slowness
 */
class Candidate(
    val backend: TrackedBackend,
    val roundTripMs: Double,
    val paceFactor: Double? = null,
)

/**
 * An immutable view of the servers of one pool that can receive new work.
 *
 * @property local the servers of the instance's own region
 * @property remote the servers of other regions
 * @property meanUtilisation the mean ratio of load to full load when the view was created
 */
class PoolView(
    val local: List<Candidate>,
    val remote: List<Candidate>,
    val meanUtilisation: Double,
) {
    private val localById = local.associateBy { it.backend.id }

    /** The number of servers in the view. */
    val size: Int get() = local.size + remote.size

    internal fun localOrNull(id: BackendId): Candidate? = localById[id]

    internal operator fun get(i: Int): Candidate = if (i < local.size) local[i] else remote[i - local.size]
}

/**
 * Creates a view of the [local] and [remote] servers. The utilisation is computed from the load reports that are recent at [nowMs],
 * or 0 if there are none.
 */
fun poolView(
    local: List<Candidate>,
    remote: List<Candidate>,
    nowMs: Long,
): PoolView {
    val reported = (local + remote).filter { c -> c.backend.reportOrNull?.let { nowMs - it.receivedAtMs <= MAX_REPORT_AGE_MS } == true }
    val full = reported.sumOf { it.backend.fullLoad }
    val load = reported.sumOf { it.backend.reportOrNull?.inFlight ?: 0 }
    return PoolView(local, remote, if (full == 0) 0.0 else load.toDouble() / full)
}

private const val MAX_REPORT_AGE_MS = 10_000L
