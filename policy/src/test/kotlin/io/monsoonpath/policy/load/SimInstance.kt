package io.monsoonpath.policy.load

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.policy.retry.AttemptFailure
import java.util.SplittableRandom

/** The servers and the network of a run. */
internal class SimWorld(
    val user: SimUser,
    val timeline: Timeline,
    val servers: List<SimServer>,
    val random: SplittableRandom,
) {
    private val byPool = servers.groupBy { it.pool.name }
    val byId = servers.associateBy { it.id }

    fun serversOf(pool: String): List<SimServer> = byPool.getValue(pool)

    fun distanceMs(
        from: FailureDomain,
        to: FailureDomain,
    ): Double = if (from == to) SAME_DOMAIN_MS else user.domainDistanceMs

    private companion object {
        const val SAME_DOMAIN_MS = 0.2
    }
}

/** A simulated entry instance; subclasses implement the decisions. */
internal abstract class SimInstance(
    val world: SimWorld,
    val domain: FailureDomain,
) {
    private val connectionEpochs = HashMap<BackendId, Long>()
    private val stageIndexes = world.user.pipelines.flatMap { p -> p.stages.indices.map { p to it } }
    protected val domainsOut = HashSet<FailureDomain>()

    /** The number of sends to a failure domain later than 2 s after it was published as out. */
    var lateSends = 0
        private set
    var publishedOutAtMs: Double? = null
    val stages: List<Pair<SimPipeline, Int>> get() = stageIndexes

    abstract fun submit(request: SimRequest)

    /** Receives the load of each server, with a delay. */
    abstract fun onReports(inFlight: Map<SimServer, Int>)

    abstract fun onPrefixEvent(
        server: SimServer,
        seq: Long,
        prefix: Long,
    )

    open fun onTick() = Unit

    open fun onDomainChange(
        changed: FailureDomain,
        out: Boolean,
    ) {
        if (out) domainsOut += changed else domainsOut -= changed
    }

    /** Returns whether a restart of [server] broke the connection. Senders detect that before they send. */
    protected fun isConnectionBroken(server: SimServer): Boolean = connectionEpochs.getOrDefault(server.id, 1L) != server.epoch

    protected fun reconnect(server: SimServer) {
        connectionEpochs[server.id] = server.epoch
    }

    protected fun send(
        request: SimRequest,
        stage: Int,
        server: SimServer,
        onEnd: SimInstance.(SimCall, AttemptFailure?) -> Unit,
    ): SimCall {
        val distanceMs = world.distanceMs(domain, server.domain)
        lateinit var call: SimCall
        call = SimCall(request, stage, server) { failure -> world.timeline.after(distanceMs / 2) { onEnd(call, failure) } }
        request.calls += call
        call.sentAtMs = world.timeline.nowMs
        val publishedMs = publishedOutAtMs
        val late = publishedMs != null && server.domain == OUT_DOMAIN && world.timeline.nowMs - publishedMs > 2_000
        if (late) lateSends++
        world.timeline.after(distanceMs / 2) { server.receive(call) }
        return call
    }

    protected fun cancel(call: SimCall) =
        world.timeline.after(world.distanceMs(domain, call.server.domain) / 2) { call.server.cancel(call) }

    protected fun answer(request: SimRequest) {
        if (!request.isOver) request.answeredAtMs = world.timeline.nowMs + world.user.clientDistanceMs / 2
    }

    protected fun refuse(request: SimRequest) {
        if (!request.isOver) request.refusedAtMs = world.timeline.nowMs
    }
}

internal val OUT_DOMAIN = FailureDomain("fd3")

/** The server selection of a [BaselineInstance]. */
internal enum class BaselineChoice { ROUND_ROBIN, LEAST_LOADED }

/** The baseline: sends immediately, servers queue first in, first out, idempotent calls are retried once, and nothing is refused early. */
internal class BaselineInstance(
    world: SimWorld,
    domain: FailureDomain,
    private val choice: BaselineChoice,
) : SimInstance(world, domain) {
    private val sendCounts = HashMap<String, Int>()
    private val reportedLoads = HashMap<SimServer, Int>()
    private val sentSince = HashMap<SimServer, Int>()

    override fun submit(request: SimRequest) {
        val leftMs = request.deadlineAtMs - world.timeline.nowMs
        world.timeline.after(leftMs) { abandon(request) }
        runStage(request, 0, retried = false)
    }

    override fun onReports(inFlight: Map<SimServer, Int>) {
        reportedLoads.putAll(inFlight)
        sentSince.clear()
    }

    override fun onPrefixEvent(
        server: SimServer,
        seq: Long,
        prefix: Long,
    ) = Unit

    private fun abandon(request: SimRequest) {
        if (request.isOver) return
        refuse(request)
        request.calls.filter { !it.ended }.forEach { cancel(it) }
    }

    private fun runStage(
        request: SimRequest,
        stage: Int,
        retried: Boolean,
    ) {
        if (request.isOver) return
        val pool = request.pipeline.stages[stage].pool
        val server = selectServer(pool) ?: return refuse(request)
        reconnect(server)
        sentSince.merge(server, 1, Int::plus)
        send(request, stage, server) { call, failure -> handleEnd(call, failure, retried) }
    }

    private fun handleEnd(
        call: SimCall,
        failure: AttemptFailure?,
        retried: Boolean,
    ) {
        val request = call.request
        val stages = request.pipeline.stages
        when {
            failure != null && !retried && stages[call.stage].idempotent -> runStage(request, call.stage, retried = true)
            failure != null -> refuse(request)
            call.stage == stages.lastIndex -> {
                request.accepted += call
                answer(request)
            }
            else -> {
                request.accepted += call
                runStage(request, call.stage + 1, retried = false)
            }
        }
    }

    private fun selectServer(pool: String): SimServer? {
        val usable = world.serversOf(pool).filter { it.domain !in domainsOut }
        if (usable.isEmpty()) return null
        return when (choice) {
            BaselineChoice.ROUND_ROBIN -> usable[sendCounts.merge(pool, 1, Int::plus)!! % usable.size]
            BaselineChoice.LEAST_LOADED -> usable.minBy { (reportedLoads[it] ?: 0) + (sentSince[it] ?: 0) }
        }
    }
}
