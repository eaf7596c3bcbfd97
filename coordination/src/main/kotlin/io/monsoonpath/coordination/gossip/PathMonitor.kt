package io.monsoonpath.coordination.gossip

/**
 * Finds out whether datagrams pass both ways between this instance and the peers whose work it waits for.
 *
 * A peer may be alive for all others while packets between it and this instance pass one way only, or not at all. Gossip does not show
 * that, since the peer's digests arrive through others. The peers in use are therefore probed in each round, and one that has left
 * [maxUnanswered] probes in a row unanswered counts as unreachable until it replies. Probes are counted, not time: on a busy machine the
 * rounds are late, and replies may be waiting.
 */
class PathMonitor(
    private val maxUnanswered: Int = DEFAULT_MAX_UNANSWERED,
) {
    private class Path(
        var usedAtMs: Long,
        var unansweredProbes: Int = 0,
    )

    private val paths = HashMap<String, Path>()

    /** The peers that do not reply, as of the last round. */
    var unreachableHosts: Set<String> = emptySet()
        private set

    /** Records a reply to a probe. */
    fun recordReply(host: String) {
        paths[host]?.unansweredProbes = 0
    }

    /**
     * Starts a round with the peers that are [inUse], and returns those to probe. The path to a peer is watched until it has not been in
     * use for [FORGET_AFTER_MS].
     */
    fun startRound(
        inUse: Set<String>,
        nowMs: Long,
    ): List<String> {
        inUse.forEach { paths.getOrPut(it) { Path(usedAtMs = nowMs) }.usedAtMs = nowMs }
        paths.values.removeIf { nowMs - it.usedAtMs > FORGET_AFTER_MS }
        unreachableHosts = paths.filterValues { it.unansweredProbes >= maxUnanswered }.keys.toSet()
        paths.values.forEach { it.unansweredProbes++ }
        return paths.keys.toList()
    }

    /** Discards everything known, for use after a pause of the process. */
    fun forgetAll() {
        paths.clear()
        unreachableHosts = emptySet()
    }

    private companion object {
        /** A second at the interval of gossip. On a path that loses one datagram in 20, one such silence in 10,000 is by chance. */
        const val DEFAULT_MAX_UNANSWERED = 4

        /** Longer than the gaps between the requests of a small workspace, so that an unreachable peer is not tried again for each. */
        const val FORGET_AFTER_MS = 10_000L
    }
}
