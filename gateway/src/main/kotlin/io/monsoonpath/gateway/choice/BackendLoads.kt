package io.monsoonpath.gateway.choice

import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.ReportedLoad
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs

/** How one attempt at a backend server ended, as far as its health is concerned. */
enum class AttemptOutcome {
    ANSWERED,

    /** The backend server answered that it failed. */
    FAILED,

    /** It turned the request away. */
    TURNED_AWAY,

    /** Another backend server answered at its address: it is gone, though its entry may stand for some seconds. */
    MISDIRECTED,

    /** It could not be reached, or its answer did not come. */
    LOST,

    /** The caller left or another end that says nothing of the backend server. */
    NEUTRAL,
}

/** What this instance has seen of one incarnation of a backend server. */
class BackendLoad internal constructor(
    internal val startedAtUnixMs: Long,
) {
    /** The attempts of this instance under way. */
    var inFlight = 0
        internal set

    /** The prompt tokens of these attempts that have not begun to answer. */
    var pendingPromptTokens = 0
        internal set

    /** The time to the first byte of an answer, smoothed, in milliseconds; 0 before the first. */
    var latencyMs = 0.0
        internal set
    internal var reported: ReportedLoad? = null
    internal var reportedAtMs = 0L
    internal var failureCount = 0
    internal var ejections = 0
    internal var ejectedUntilMs = 0L

    /** Returns the reported load if it is younger than [maxAgeMs]. */
    fun reportedWithin(
        maxAgeMs: Long,
        nowMs: Long,
    ): ReportedLoad? = reported?.takeIf { nowMs - reportedAtMs <= maxAgeMs }

    /** Returns whether the backend server is avoided at [nowMs] because its last attempts failed. */
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs
}

/** What this instance has seen of every backend server. Used by the event loop alone. */
class BackendLoads(
    private val clock: ClockMs,
    private val log: DecisionLog,
) {
    private val byId = HashMap<BackendId, BackendLoad>()

    /** Returns what is known of [server]; a new incarnation starts afresh. */
    fun of(server: BackendServer): BackendLoad {
        val known = byId[server.id]
        if (known != null && known.startedAtUnixMs == server.startedAtUnixMs) return known
        return BackendLoad(server.startedAtUnixMs).also { byId[server.id] = it }
    }

    /** Forgets a backend server that is gone. */
    fun remove(id: BackendId) {
        byId.remove(id)
    }

    /** Notes an attempt with [promptTokens] of prompt. */
    fun recordStart(
        load: BackendLoad,
        promptTokens: Int,
    ) {
        load.inFlight++
        load.pendingPromptTokens += promptTokens
    }

    /** Notes the first byte of an answer after [latencyMs]. */
    fun recordFirstByte(
        load: BackendLoad,
        promptTokens: Int,
        latencyMs: Long,
        reported: ReportedLoad?,
    ) {
        load.pendingPromptTokens -= promptTokens
        load.latencyMs =
            if (load.latencyMs == 0.0) latencyMs.toDouble() else load.latencyMs + LATENCY_SMOOTHING * (latencyMs - load.latencyMs)
        if (reported != null) {
            load.reported = reported
            load.reportedAtMs = clock.nowMs()
        }
    }

    /** Notes the [outcome] of an attempt at [server]. */
    fun recordEnd(
        server: BackendServer,
        load: BackendLoad,
        outcome: AttemptOutcome,
    ) {
        load.inFlight--
        when (outcome) {
            AttemptOutcome.ANSWERED -> {
                load.failureCount = 0
                load.ejections = 0
            }
            AttemptOutcome.FAILED -> recordFailure(server, load, 1)
            AttemptOutcome.LOST -> recordFailure(server, load, FAILURES_TO_EJECT)
            AttemptOutcome.MISDIRECTED -> eject(server, load, MISDIRECTED_EJECTION_MS)
            AttemptOutcome.TURNED_AWAY, AttemptOutcome.NEUTRAL -> Unit
        }
    }

    private fun recordFailure(
        server: BackendServer,
        load: BackendLoad,
        weight: Int,
    ) {
        load.failureCount += weight
        if (load.failureCount < FAILURES_TO_EJECT) return
        load.failureCount = 0
        eject(server, load, BASE_EJECTION_MS shl minOf(load.ejections, MAX_EJECTION_DOUBLINGS))
    }

    private fun eject(
        server: BackendServer,
        load: BackendLoad,
        durationMs: Long,
    ) {
        load.ejections++
        load.ejectedUntilMs = clock.nowMs() + durationMs
        log.line("backend.ejected", "backend" to server.id, "pool" to server.pool, "forMs" to durationMs, "ejections" to load.ejections)
    }

    private companion object {
        const val LATENCY_SMOOTHING = 0.2

        /** A failing application answers one request in seven so even when it is well; three in a row are not chance. */
        const val FAILURES_TO_EJECT = 3
        const val BASE_EJECTION_MS = 1_000L
        const val MAX_EJECTION_DOUBLINGS = 2

        /** Three heartbeats and the way of the news: by then the entry of a backend server that is gone has lapsed. */
        const val MISDIRECTED_EJECTION_MS = 4_500L
    }
}
