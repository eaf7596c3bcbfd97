package io.monsoonpath.gateway.choice

import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.ReportedLoad
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.choice.LoadReport
import io.monsoonpath.policy.choice.PaceChange
import io.monsoonpath.policy.choice.PaceEstimate
import io.monsoonpath.policy.choice.PoolBaseline
import io.monsoonpath.policy.choice.TrackedBackend

/** The outcome of an attempt, as far as it concerns the health of the backend server. */
enum class AttemptOutcome {
    /** The backend server returned a complete answer. */
    ANSWERED,

    /** The backend server answered with a failure. */
    FAILED,

    /** The backend server rejected the request without running it. */
    TURNED_AWAY,

    /** Another backend server answered at the address: the intended one is gone, but its directory entry may last for some seconds. */
    MISDIRECTED,

    /** The backend server was unreachable, or no complete and valid answer arrived. */
    LOST,

    /** Nothing had arrived when the time of the request was over: the backend server is slow, or its answers do not arrive. */
    SILENT,

    /** The attempt was cancelled, for example because the caller left, which does not indicate the health of the backend server. */
    NEUTRAL,
}

/** The load and health of one incarnation of a backend server, as observed by this instance. */
class BackendLoad internal constructor(
    server: BackendServer,
    paceChange: PaceChange,
) {
    internal val startedAtUnixMs = server.startedAtUnixMs
    internal val tracked = trackedBackend(server)
    internal val pace = PaceEstimate(paceChange)

    /** The number of running attempts of this instance. */
    val inFlight: Int get() = tracked.ownInFlight

    /** The number of prompt tokens of the running attempts that have not received a first byte. */
    var pendingPromptTokens = 0L
        internal set

    /** The smoothed time to the first byte of an answer, in milliseconds; 0 before the first answer. */
    var latencyMs = 0.0
        internal set
    internal var reported: ReportedLoad? = null
    internal var reportedAtMs = 0L
    internal var failureCount = 0
    internal var ejections = 0
    internal var ejectedUntilMs = 0L

    /** Returns the last load that the backend server reported if it is at most [maxAgeMs] old, or null. */
    fun reportedWithin(
        maxAgeMs: Long,
        nowMs: Long,
    ): ReportedLoad? = reported?.takeIf { nowMs - reportedAtMs <= maxAgeMs }

    /** Returns whether the backend server is ejected at [nowMs] because its last attempts failed. */
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs
}

/**
 * The load and health of all backend servers, as observed by this instance. Confined to the event loop.
 *
 * @param onIgnored called with the kind of each report that is ignored in whole or in part
 */
class BackendLoads(
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val onIgnored: (kind: String) -> Unit = {},
) {
    /** What the paces and durations of one pool have in common. */
    private class PoolPaces {
        val change = PaceChange()
        val baseline = PoolBaseline()
        var reportedAtMs: Long? = null
    }

    private val byId = HashMap<BackendId, BackendLoad>()
    private val pacesByPool = HashMap<PoolId, PoolPaces>()

    /** Returns the load of [server]; that of a new incarnation is initially empty. */
    fun of(server: BackendServer): BackendLoad {
        val known = byId[server.id]
        if (known != null && known.startedAtUnixMs == server.startedAtUnixMs) return known
        return BackendLoad(server, pacesOf(server.pool).change).also { byId[server.id] = it }
    }

    /** Removes the load of the backend server [id], which has left the directory. */
    fun remove(id: BackendId) {
        byId.remove(id)
    }

    /**
     * Records the load that [server] has [reported] in the head of any response, also of a refusal or of a call to a stage worker.
     *
     * A report without a plausible pace counts only with the first byte of an answer, see [recordFirstByte].
     */
    fun recordReport(
        server: BackendServer,
        reported: ReportedLoad?,
    ) {
        if (reported == null || (reported.pacePercent == null && !isPaced(server.pool))) return
        val load = of(server)
        val nowMs = clock.nowMs()
        if (load.pace.record(reported.pacePercent, nowMs)) {
            recordPace(server, reported, nowMs)
            recordCounts(server, load, reported)
        } else if (reported.pacePercent != null) {
            onIgnored("implausible-pace")
        }
    }

    private fun recordPace(
        server: BackendServer,
        reported: ReportedLoad,
        nowMs: Long,
    ) {
        val paces = pacesOf(server.pool)
        if (!reportsPaces(server.pool, nowMs)) {
            val gapMs = paces.reportedAtMs?.let { nowMs - it }
            log.line("pool.paced", "pool" to server.pool, "backend" to server.id, "pacePercent" to reported.pacePercent, "gapMs" to gapMs)
        }
        paces.reportedAtMs = nowMs
    }

    private fun recordCounts(
        server: BackendServer,
        load: BackendLoad,
        reported: ReportedLoad,
    ) {
        val nowMs = clock.nowMs()
        load.reported = reported
        load.reportedAtMs = nowMs
        val incarnation = Incarnation(server.startedAtUnixMs)
        load.tracked.recordReport(LoadReport(reported.running + reported.waiting, incarnation, nowMs, load.inFlight))
    }

    /** Returns whether a server of [pool] has ever stated a plausible pace to this instance. */
    fun isPaced(pool: PoolId): Boolean = pacesByPool[pool]?.reportedAtMs != null

    /** Returns whether a server of [pool] has stated a plausible pace recently, so that decisions at [nowMs] can rely on paces. */
    fun reportsPaces(
        pool: PoolId,
        nowMs: Long,
    ): Boolean = pacesByPool[pool]?.reportedAtMs?.let { nowMs - it <= PACED_FOR_MS } ?: false

    /**
     * Returns how much longer than usual work is expected to take on [server] at [nowMs]: 1.0 if that is as usual or unknown.
     *
     * The factor of a server that takes much longer than the pace that it states includes the measured excess.
     */
    fun paceFactor(
        server: BackendServer,
        nowMs: Long,
    ): Double {
        if (!reportsPaces(server.pool, nowMs)) return 1.0
        val load = of(server)
        return load.pace.factor(nowMs) * maxOf(1.0, load.tracked.slowness(nowMs) / TOLERATED_SLOWNESS)
    }

    /**
     * Returns by how much [server] is expected to take longer at [nowMs] than its latency shows, which is smoothed over several answers:
     * at least 1.0, which also applies if the pool states no paces.
     */
    fun paceRise(
        server: BackendServer,
        nowMs: Long,
    ): Double {
        if (!reportsPaces(server.pool, nowMs)) return 1.0
        val load = of(server)
        val measuredAt = if (load.latencyMs == 0.0) 1.0 else load.pace.meanFactor(nowMs)
        return (load.pace.factor(nowMs) / measuredAt).coerceIn(1.0, MAX_PACE_RISE)
    }

    /** Returns the typical duration of a request on an idle server of [pool] at the usual pace in milliseconds, or null if unknown. */
    internal fun baselineMsOrNull(pool: PoolId): Double? = pacesByPool[pool]?.baseline?.durationMsOrNull

    /** Records that the server [selected] by its pace has begun a successful answer [durationMs] after the start of the attempt. */
    fun recordDuration(
        selected: SelectedBackend,
        durationMs: Long,
    ) {
        val expectation = selected.expectation ?: return
        val nowMs = clock.nowMs()
        // The pace may have changed meanwhile: that at the start and that at the end count equally.
        val pace = (expectation.statedPace + selected.load.pace.factor(nowMs)) / 2
        val ratio = pacesOf(selected.server.pool).baseline.record(durationMs.toDouble(), expectation.work * pace)
        selected.load.tracked.recordRatio(ratio, nowMs)
    }

    private fun pacesOf(pool: PoolId) = pacesByPool.getOrPut(pool) { PoolPaces() }

    /** Records the start of an attempt whose prompt has [promptTokens] tokens. */
    fun recordStart(
        load: BackendLoad,
        promptTokens: Int,
    ) {
        load.tracked.recordStart()
        load.pendingPromptTokens += promptTokens
    }

    /** Records the first byte of an answer of [server] [latencyMs] after the start of the attempt, and the load that the answer reports. */
    fun recordFirstByte(
        server: BackendServer,
        load: BackendLoad,
        promptTokens: Int,
        latencyMs: Long,
        reported: ReportedLoad?,
    ) {
        load.pendingPromptTokens -= promptTokens
        load.latencyMs =
            if (load.latencyMs == 0.0) latencyMs.toDouble() else load.latencyMs + LATENCY_SMOOTHING * (latencyMs - load.latencyMs)
        if (reported != null) recordCounts(server, load, reported)
    }

    /** Records the [outcome] of an attempt at [server] and ejects the server if too many attempts have failed. */
    fun recordEnd(
        server: BackendServer,
        load: BackendLoad,
        outcome: AttemptOutcome,
    ) {
        load.tracked.recordAbandoned()
        when (outcome) {
            AttemptOutcome.ANSWERED -> {
                load.failureCount = 0
                load.ejections = 0
            }
            AttemptOutcome.FAILED, AttemptOutcome.SILENT -> recordFailure(server, load, 1)
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
        val isEjected = load.isEjected(clock.nowMs())
        load.ejections++
        load.ejectedUntilMs = clock.nowMs() + durationMs
        // Each failure of an ejected server prolongs its ejection; a line for each would flood the log.
        if (isEjected) return
        log.line("backend.ejected", "backend" to server.id, "pool" to server.pool, "forMs" to durationMs, "ejections" to load.ejections)
    }

    private companion object {
        const val LATENCY_SMOOTHING = 0.2

        /** Servers of a pool that is in use state their paces several times a second; after this time they have stopped to. */
        const val PACED_FOR_MS = 5_000L

        /** Up to this factor, a long duration may be due to the kind of the requests or to a queue that was not reported yet. */
        const val TOLERATED_SLOWNESS = 1.5

        /** A server that has slowed down more is better given up than awaited. */
        const val MAX_PACE_RISE = 4.0

        /** Even a healthy application fails one request in seven; three consecutive failures are not due to chance. */
        const val FAILURES_TO_EJECT = 3
        const val BASE_EJECTION_MS = 1_000L
        const val MAX_EJECTION_DOUBLINGS = 2

        /** Three heartbeats plus the propagation delay, after which the entry of a backend server that is gone has expired. */
        const val MISDIRECTED_EJECTION_MS = 4_500L
    }
}

private fun trackedBackend(server: BackendServer): TrackedBackend {
    val slots = server.slots.coerceAtLeast(1)
    return TrackedBackend(server.id, server.failureDomain, slots, slots, REPORT_DECAY_MS)
}

/** A queue that has formed during a slow period of a machine lasts about as long as the period. */
private const val REPORT_DECAY_MS = 600.0
