package io.monsoonpath.coordination.gossip

/**
 * Finds out whether datagrams pass both ways between this instance and the peers whose work it waits for.
 *
 * A peer may be alive for all others while packets between it and this instance pass one way only, or not at all. Gossip does not show
 * that, since the peer's digests arrive through others. The peers in use are therefore probed, and one that has not replied for
 * [silenceMs] counts as unreachable until it replies.
 *
 * @param silenceMs the time in milliseconds, several intervals between probes, since a few datagrams are lost on a sound path as well
 */
class PathMonitor(
    private val silenceMs: Long = DEFAULT_SILENCE_MS,
) {
    private class Path(
        var repliedAtMs: Long,
        var usedAtMs: Long,
    )

    private val paths = HashMap<String, Path>()

    /** The peers that do not reply, as of the last round. */
    var unreachableHosts: Set<String> = emptySet()
        private set

    /** Records a reply to a probe. */
    fun recordReply(
        host: String,
        nowMs: Long,
    ) {
        paths[host]?.repliedAtMs = nowMs
    }

    /**
     * Starts a round with the peers that are [inUse], and returns those to probe. The path to a peer is watched until it has not been in
     * use for [FORGET_AFTER_MS].
     */
    fun startRound(
        inUse: Set<String>,
        nowMs: Long,
    ): List<String> {
        inUse.forEach { paths.getOrPut(it) { Path(repliedAtMs = nowMs, usedAtMs = nowMs) }.usedAtMs = nowMs }
        paths.values.removeIf { nowMs - it.usedAtMs > FORGET_AFTER_MS }
        unreachableHosts = paths.filterValues { nowMs - it.repliedAtMs > silenceMs }.keys.toSet()
        return paths.keys.toList()
    }

    /** Discards everything known, for use after a pause of the process, in which no reply could be received. */
    fun forgetAll() {
        paths.clear()
        unreachableHosts = emptySet()
    }

    private companion object {
        /** Four probes at the interval of gossip: on a path that loses one datagram in 20, one such silence in 10,000 is by chance. */
        const val DEFAULT_SILENCE_MS = 1_000L

        /** Longer than the gaps between the requests of a small workspace, so that an unreachable peer is not tried again for each. */
        const val FORGET_AFTER_MS = 10_000L
    }
}
