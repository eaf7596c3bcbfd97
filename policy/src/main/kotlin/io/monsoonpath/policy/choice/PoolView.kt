package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId

/**
 * A backend server that may receive new work, as seen from one instance.
 *
 * @property backend the server's tracking record, shared by successive views
 * @property roundTripMs the round trip to it
 */
class Candidate(
    val backend: TrackedBackend,
    val roundTripMs: Double,
)

/**
 * An immutable view of the servers of one pool that may receive new work.
 *
 * @property local the servers of the instance's own region
 * @property remote the servers of other regions
 * @property meanUtilisation the mean of load over full load at the time of the view
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

/** Returns a view of [local] and [remote] servers with the utilisation that reports and own requests show at [nowMs]. */
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
