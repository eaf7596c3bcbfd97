package io.monsoonpath.policy.backend

import io.monsoonpath.model.LruMap
import kotlin.random.Random

/**
 * Decides which backend servers may receive requests, by what they have stated about themselves in their responses.
 *
 * A server that is leaving never receives a request again; only a new [Incarnation] does. A server that has refused a request with
 * `Retry-After` receives none until that time is over. Its return is spread by jitter, and it receives one first request at a time until
 * it has answered one without refusing it: the servers of a pool that is overloaded often state the same time.
 *
 * Not thread-safe. A restart of this process forgets everything.
 *
 * @param seed determines the jitter; instances should have different seeds
 */
class BackendNotices(
    private val seed: Int,
) {
    private class Pause(
        val sinceMs: Long,
        val endsAtMs: Long,
        val returnsAtMs: Long,
    ) {
        var firstRequestAtMs: Long? = null
    }

    // Entries outlive those of the directory: a server that is listed again is still the same incarnation.
    private val leavingSinceMs = LruMap<Incarnation, Long>(MAX_SERVERS)
    private val pauses = LruMap<Incarnation, Pause>(MAX_SERVERS)

    /** Records that [server] has stated at [nowMs] that it is leaving. Returns false if this was known. */
    fun recordLeaving(
        server: Incarnation,
        nowMs: Long,
    ): Boolean {
        if (server in leavingSinceMs) return false
        leavingSinceMs[server] = nowMs
        return true
    }

    /**
     * Records that [server] has refused a request at [nowMs] and wants none for [waitMs] milliseconds, at most [MAX_RETRY_AFTER_MS].
     * Returns false if this changes nothing, because an earlier refusal stated a later end.
     */
    fun recordRefusal(
        server: Incarnation,
        waitMs: Long,
        nowMs: Long,
    ): Boolean {
        require(waitMs in 0..MAX_RETRY_AFTER_MS) { "waitMs must be between 0 and $MAX_RETRY_AFTER_MS: $waitMs" }
        val endsAtMs = nowMs + waitMs
        val known = pauses[server]
        if (waitMs == 0L || (known != null && known.endsAtMs >= endsAtMs)) return false
        val maxJitterMs = minOf(waitMs / JITTER_DIVISOR, MAX_JITTER_MS)
        val jitterMs = Random(HASH_FACTOR * (HASH_FACTOR * seed + server.hashCode()) + endsAtMs.hashCode()).nextLong(maxJitterMs + 1)
        pauses[server] = Pause(nowMs, endsAtMs, endsAtMs + jitterMs)
        return true
    }

    /** Returns whether [server] may receive a new request at [nowMs]. */
    fun availabilityOf(
        server: Incarnation,
        nowMs: Long,
    ): Availability {
        leavingSinceMs[server]?.let { return Availability.Leaving(it) }
        val pause = pauses[server] ?: return Availability.Available
        if (nowMs < pause.returnsAtMs) return Availability.Paused(pause.sinceMs, pause.returnsAtMs)
        val nextAtMs = pause.firstRequestAtMs?.plus(FIRST_REQUEST_MS) ?: return Availability.Available
        return if (nowMs < nextAtMs) Availability.Returning(pause.sinceMs, nextAtMs) else Availability.Available
    }

    /** Records that [server] was selected at [nowMs] for a request that will be sent. */
    fun recordSelected(
        server: Incarnation,
        nowMs: Long,
    ) {
        pauses[server]?.firstRequestAtMs = nowMs
    }

    /** Returns whether a request for which [server] was selected at [selectedAtMs] may still be written. */
    fun mayWrite(
        server: Incarnation,
        selectedAtMs: Long,
    ): Boolean = server !in leavingSinceMs && !precedesReturn(server, selectedAtMs)

    /**
     * Records that [server] answered a request for which it was selected at [selectedAtMs], and did not refuse it. Returns true if this
     * ends its return. A request from before the return says nothing about whether the server receives requests again.
     */
    fun recordAnswer(
        server: Incarnation,
        selectedAtMs: Long,
    ): Boolean {
        if (pauses[server] == null || precedesReturn(server, selectedAtMs)) return false
        pauses.remove(server)
        return true
    }

    /** Records that a request for which [server] was selected at [selectedAtMs] has ended, with or without a response. */
    fun recordEnd(
        server: Incarnation,
        selectedAtMs: Long,
    ) {
        val pause = pauses[server] ?: return
        if (pause.firstRequestAtMs == selectedAtMs) pause.firstRequestAtMs = null
    }

    private fun precedesReturn(
        server: Incarnation,
        selectedAtMs: Long,
    ): Boolean = pauses[server]?.let { selectedAtMs < it.returnsAtMs } ?: false

    private companion object {
        /** Twice the servers of the largest fleet. */
        const val MAX_SERVERS = 16_384

        /** The jitter is at most a quarter of the wait. */
        const val JITTER_DIVISOR = 4
        const val MAX_JITTER_MS = 2_000L

        /** Refusals arrive at once, so a server that has not answered for this long is likely to work on its first request. */
        const val FIRST_REQUEST_MS = 1_000L
        const val HASH_FACTOR = 31
    }
}
