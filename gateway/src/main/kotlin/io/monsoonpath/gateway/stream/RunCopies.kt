package io.monsoonpath.gateway.stream

import io.monsoonpath.coordination.gossip.rendezvousRank
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.choice.FleetView
import io.monsoonpath.gateway.config.EngineLimits
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.request.RequestContext
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.policy.stream.CopyHost
import io.monsoonpath.policy.stream.CopyLimits
import io.monsoonpath.policy.stream.StreamingRun
import io.monsoonpath.policy.stream.isWorthCopying
import io.monsoonpath.policy.stream.selectCopyHost

/** A copy of the cached tokens of one run that is being kept on the engine [host]. */
class RunCopy internal constructor(
    val host: BackendServer,
    internal val tokens: Long,
)

/**
 * The copies that engines keep of runs that cannot be repeated, so that another engine can continue them. Confined to the event loop.
 *
 * Applies to engine pools that support backups, whose servers state their paces, and of which an engine was lost recently. Each engine
 * stores copies for a few instances only, selected by rendezvous hashing: the memory that a copy needs is a large part of what all
 * instances together may use on one engine.
 *
 * @param fleetView returns the current view of the fleet, or null if this instance does not know the fleet yet and so keeps no copies
 */
class RunCopies(
    private val directory: BackendDirectory,
    private val loads: BackendLoads,
    private val gate: BackendGate,
    private val fleetView: () -> FleetView?,
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    private val tokensByHost = HashMap<BackendId, Long>()
    private val lastLossMs = HashMap<PoolId, Long>()

    /** The number of tokens of all copies. */
    val copiedTokens: Long get() = tokensByHost.values.sum()

    /** Records that an engine of [pool] was lost while it ran a request. */
    fun recordLoss(pool: PoolId) {
        lastLossMs[pool] = clock.nowMs()
    }

    /**
     * Returns whether engines of [pool] have been lost recently. Copies of all long runs at all times would transfer hundreds of times as
     * many bytes as the streams that they save are worth; engines that crash mostly do so several times in a row.
     */
    private fun isAtRisk(pool: PoolId): Boolean = lastLossMs[pool]?.let { clock.nowMs() - it <= RISK_MS } ?: false

    /** Selects an engine for a copy of the run of [context] on [source]; returns null if none is kept. */
    fun reserve(
        context: RequestContext,
        source: BackendServer,
    ): RunCopy? {
        val pool = context.table.poolOf(context.pool) ?: return null
        val engine = pool.engine?.takeIf { it.supportsBackups && loads.isPaced(pool.id) && isAtRisk(pool.id) } ?: return null
        val limits = CopyLimits(engine.kvTokenBytes, engine.linkBytesPerMs, engine.kvCapacityTokens)
        val run = runOf(context) ?: return null
        if (!isWorthCopying(run, limits)) return null
        val view = fleetView() ?: return null
        val sharers = minOf(view.hosts.size, SHARERS)
        val selected = selectCopyHost(hostsFor(pool, engine, source, view), run.tokens, limits, sharers)
        metrics.copyDecided(pool.id.value, if (selected == null) "no-room" else "kept")
        val host = selected?.let { directory[it.id] } ?: return null
        tokensByHost.merge(host.id, run.tokens, Long::plus)
        log.line(
            "copy.kept",
            "request" to context.head.id,
            "backend" to source.id,
            "copyHost" to host.id,
            "tokens" to run.tokens,
            "copyTokens" to tokensByHost[host.id],
            "utilization" to selected.utilization,
        )
        return RunCopy(host, run.tokens)
    }

    private fun runOf(context: RequestContext): StreamingRun? =
        when (val kind = context.route.kind) {
            is RouteKind.Stream -> StreamingRun(kind.isResumable, context.head.promptTokens, context.head.outputTokens)
            RouteKind.Idempotent, RouteKind.NonIdempotent -> null
        }

    private fun hostsFor(
        pool: Pool,
        engine: EngineLimits,
        source: BackendServer,
        view: FleetView,
    ): List<CopyHost> {
        val nowMs = clock.nowMs()
        return directory
            .usable(pool.id)
            .filter {
                it.id != source.id &&
                    isSound(
                        it,
                        nowMs,
                    ) &&
                    rendezvousRank(COPY_KEY + it.id.value, view.ownHost, view.hosts) < SHARERS
            }.map {
                val load = loads.of(it)
                val running =
                    maxOf(
                        load.inFlight,
                        load.reportedWithin(REPORT_MAX_AGE_MS, nowMs)?.let { report -> report.running + report.waiting } ?: 0,
                    )
                CopyHost(
                    id = it.id,
                    copyTokens = tokensByHost[it.id] ?: 0,
                    isInSourceDomain = it.failureDomain == source.failureDomain,
                    utilization = running.toDouble() / engine.slots.coerceAtLeast(1),
                )
            }
    }

    private fun isSound(
        server: BackendServer,
        nowMs: Long,
    ) = nowMs >= server.coldUntilMs &&
        gate.isAvailable(server, nowMs) &&
        !loads.of(server).isEjected(nowMs) &&
        loads.paceFactor(server, nowMs) <= MAX_PACE_FACTOR

    /** Returns whether the run of [copy] can continue on its host now. */
    fun canContinue(copy: RunCopy): Boolean =
        directory.isUsable(copy.host) && gate.isAvailable(copy.host, clock.nowMs()) && !loads.of(copy.host).isEjected(clock.nowMs())

    /** Releases the memory that [copy] was expected to take. Engines free it themselves. */
    fun release(copy: RunCopy) {
        tokensByHost.computeIfPresent(copy.host.id) { _, tokens -> (tokens - copy.tokens).takeIf { it > 0 } }
    }

    internal companion object {
        /** Precedes the id of an engine in the rendezvous hashing of the instances for which it stores copies. */
        const val COPY_KEY = "copy:"

        /**
         * The number of instances for which an engine stores copies. The allowance of each then holds one or two long runs, and with half
         * as many engines as instances, few instances have no engine for copies.
         */
        const val SHARERS = 8

        /** Longer than an engine takes to start again, so that one that crashes on each start counts as one risk. */
        private const val RISK_MS = 10_000L
        private const val REPORT_MAX_AGE_MS = 1_000L

        /** An engine that is slower than this takes longer to read what a copy lacks than callers wait between two events. */
        private const val MAX_PACE_FACTOR = 2.0
    }
}
