package io.monsoonpath.policy.load

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.WorkspaceId
import java.util.SplittableRandom

/** Who decides in a run. */
internal enum class Decider(
    val title: String,
) {
    POLICY("policy"),
    ROUND_ROBIN("round robin + FIFO"),
    LEAST_LOADED("least loaded, lagging"),
}

/**
 * What a run showed; shares are from 0 to 1.
 *
 * @property attainment answered in time, of what came inside the rates
 * @property worstAttainment the same for the workspace that fared worst
 * @property refusedWithinRate refused before its deadline, of what came inside the rates
 * @property wastedShare stage work for requests that were not answered in time, or whose result was not used
 * @property workMsPerAnswer stage work for a request answered in time, by kind of stage
 * @property sendsAboveColdLoad sends to a cold server beyond what it bears
 * @property attainmentAfterOut attainment of requests begun more than 3 s after the domain left and before it returned
 * @property lateSends sends into the domain later than 2 s after it was published as out
 */
internal data class LoadResult(
    val requests: Int,
    val attainment: Double,
    val worstAttainment: Double,
    val refusedWithinRate: Double,
    val wastedShare: Double,
    val workMsPerAnswer: Map<StageKind, Double>,
    val sendsAboveColdLoad: Int,
    val attainmentAfterOut: Double,
    val lateSends: Int,
    val hedgeShare: Double,
    val retryShare: Double,
    val duplicateRuns: Int,
)

/** Runs [decider] for [user] under [faults] at a peak of [load] times the engines' capacity. */
internal fun runLoad(
    user: SimUser,
    decider: Decider,
    load: Double,
    faults: Set<Fault>,
    seed: Long,
    options: RunOptions = RunOptions(),
): LoadResult = LoadRun(user, decider, load, faults, seed, options).run()

/**
 * Departures from the usual run, to measure a single idea.
 *
 * @property skew the part of all requests that the balancer sends to the first instance, beyond its equal part
 * @property borrow whether an instance may use what others leave unused of a pool
 * @property exchangeDemand whether the instances correct weights by what they tell each other of their demand
 * @property sharedPermits whether the permits of a cold server count over all instances
 */
internal class RunOptions(
    val skew: Double = 0.0,
    val borrow: Boolean = true,
    val sharedPermits: Boolean = true,
    val exchangeDemand: Boolean = true,
)

private class LoadRun(
    private val user: SimUser,
    private val decider: Decider,
    private val load: Double,
    private val faults: Set<Fault>,
    seed: Long,
    private val options: RunOptions,
) {
    private val timeline = Timeline()
    private val arrivals = SplittableRandom(seed)
    private val random = SplittableRandom(seed + 1)
    private val world = SimWorld(user, timeline, servers(SplittableRandom(seed + 2)), random)
    private val permits = newPermits()
    private val instances = List(user.instances) { i -> instance(i) }
    private val requests = mutableListOf<SimRequest>()
    private val buckets = HashMap<WorkspaceId, RateBucket>()

    fun run(): LoadResult {
        scheduleArrivals()
        repeat((RUN_MS / TICK_MS).toInt()) { i -> timeline.after(i * TICK_MS) { instances.forEach { it.onTick() } } }
        repeat((RUN_MS / REPORT_MS).toInt()) { i -> timeline.after(i * REPORT_MS) { report() } }
        repeat((RUN_MS / REPORT_MS).toInt()) { i -> timeline.after(i * REPORT_MS) { if (options.exchangeDemand) exchangeDemand() } }
        world.servers.forEach { publishPrefixes(it) }
        faults.forEach { schedule(it) }
        timeline.runUntil(RUN_MS + DRAIN_MS)
        return result()
    }

    private fun newPermits() = world.servers.associateWith { SimPermits(it) }

    private fun domain(i: Int) = FailureDomain("fd${i % DOMAIN_COUNT + 1}")

    private fun servers(random: SplittableRandom) =
        user.pools.flatMap { pool ->
            List(pool.servers) { i -> SimServer(BackendId("${pool.name}$i"), domain(i), pool, timeline, random) }
        }

    private fun instance(i: Int): SimInstance {
        val domain = domain(i)
        return when (decider) {
            Decider.POLICY -> policyInstance(i, domain)
            Decider.ROUND_ROBIN -> BaselineInstance(world, domain, BaselineChoice.ROUND_ROBIN)
            Decider.LEAST_LOADED -> BaselineInstance(world, domain, BaselineChoice.LEAST_LOADED)
        }
    }

    private fun policyInstance(
        i: Int,
        domain: FailureDomain,
    ) = PolicyInstance(InstanceId("e$i"), world, domain, if (options.sharedPermits) permits else newPermits(), options.borrow)

    private fun exchangeDemand() {
        val policies = instances.filterIsInstance<PolicyInstance>()
        val summaries = policies.map { it.collectDemand() }
        timeline.after(PEER_LAG_MS) { policies.forEach { target -> summaries.forEach { target.onDemand(it) } } }
    }

    private fun scheduleArrivals() {
        val peakPerMs = load * user.capacityPerMs
        for ((workspace, share) in user.workspaces) {
            buckets[workspace] = RateBucket(peakPerMs * share * RATE_HEADROOM)
            val peakFactor = if (workspace == FLOODING_WORKSPACE) FLOOD_FACTOR else 1.0
            var atMs = 0.0
            while (true) {
                atMs += -kotlin.math.ln(arrivals.nextDouble()) / (peakPerMs * share * peakFactor)
                if (atMs >= RUN_MS) break
                val flooding = Fault.FLOOD in faults && atMs in FAULT_AT_MS..FAULT_END_MS
                val acceptance = relativeRate(atMs) * (if (workspace == FLOODING_WORKSPACE && flooding) FLOOD_FACTOR else 1.0) / peakFactor
                if (arrivals.nextDouble() < acceptance) addRequest(workspace, atMs)
            }
        }
    }

    private fun addRequest(
        workspace: WorkspaceId,
        atMs: Double,
    ) {
        val pick = arrivals.nextDouble()
        var sum = 0.0
        val pipeline = user.pipelines.first { p -> (sum + p.share).also { sum = it } >= pick || p === user.pipelines.last() }
        val prefix = workspace.hashCode() * 31L + arrivals.nextInt(PREFIXES_PER_WORKSPACE)
        val request = SimRequest(workspace, pipeline, atMs, buckets.getValue(workspace).tryAcquire(atMs), prefix)
        requests += request
        val skewed = arrivals.nextDouble() < options.skew
        val instance = if (skewed) instances.first() else instances[arrivals.nextInt(instances.size)]
        timeline.after(atMs + user.clientDistanceMs / 2) { instance.submit(request) }
    }

    private fun report() {
        val loads = world.servers.associateWith { it.inFlight }
        timeline.after(REPORT_LAG_MS) { instances.forEach { it.onReports(loads) } }
    }

    /** Cache events come late, and some are lost. */
    private fun publishPrefixes(server: SimServer) {
        var seq = 0L
        server.onPrefixStored = { prefix ->
            seq++
            val number = seq
            val lost = random.nextDouble() < EVENT_LOSS_RATE
            if (!lost) timeline.after(EVENT_LAG_MS) { instances.forEach { it.onPrefixEvent(server, number, prefix) } }
        }
    }

    private fun schedule(fault: Fault) {
        when (fault) {
            Fault.FLOOD -> Unit
            Fault.SLOW_STAGE -> {
                timeline.after(FAULT_AT_MS) { world.serversOf(SLOWED_POOL).forEach { it.slowFactor = SLOW_FACTOR } }
                timeline.after(FAULT_END_MS) { world.serversOf(SLOWED_POOL).forEach { it.slowFactor = 1.0 } }
            }
            Fault.COLD_SERVER -> timeline.after(FAULT_AT_MS) { world.serversOf("generate").first().restart() }
            Fault.DOMAIN_OUT -> {
                publishDomainState(FAULT_AT_MS, out = true)
                publishDomainState(FAULT_END_MS, out = false)
            }
        }
    }

    private fun publishDomainState(
        atMs: Double,
        out: Boolean,
    ) {
        for (instance in instances) {
            timeline.after(atMs) { instance.publishedOutAtMs = atMs.takeIf { out } }
            timeline.after(atMs + random.nextDouble() * CONFIG_LAG_MS) { instance.onDomainChange(OUT_DOMAIN, out) }
        }
    }

    private fun result(): LoadResult {
        val outcomes = user.workspaces.keys.map { outcomeOf(it) { true } }
        val duringOut = user.workspaces.keys.map { outcomeOf(it) { r -> r.arrivedAtMs in FAULT_AT_MS + 3_000..FAULT_END_MS } }
        val policies = instances.filterIsInstance<PolicyInstance>()
        val firstAttempts = policies.sumOf { it.firstAttempts }.coerceAtLeast(1)
        return LoadResult(
            requests = requests.size,
            attainment = outcomes.sumOf { it.inTime }.toDouble() / outcomes.sumOf { it.due },
            worstAttainment = outcomes.minOf { it.inTime.toDouble() / it.due },
            refusedWithinRate = outcomes.sumOf { it.refused }.toDouble() / outcomes.sumOf { it.due },
            wastedShare = 1 - usefulMs() / requests.sumOf { r -> r.calls.sumOf { it.workMs } },
            workMsPerAnswer = workMsPerAnswer(),
            sendsAboveColdLoad = world.servers.sumOf { it.sendsAboveColdLoad },
            attainmentAfterOut = duringOut.sumOf { it.inTime }.toDouble() / duringOut.sumOf { it.due },
            lateSends = instances.sumOf { it.lateSends },
            hedgeShare = policies.sumOf { it.extraAttempts[0] }.toDouble() / firstAttempts,
            retryShare = policies.sumOf { it.extraAttempts[1] }.toDouble() / firstAttempts,
            duplicateRuns = requests.count { r -> r.calls.groupBy { it.stage }.any { (i, calls) -> isDuplicateRun(r, i, calls) } },
        )
    }

    private fun isDuplicateRun(
        request: SimRequest,
        stage: Int,
        calls: List<SimCall>,
    ) = !request.pipeline.stages[stage].idempotent && calls.count { it.startedAtMs >= 0 } > 1

    private fun workMsPerAnswer(): Map<StageKind, Double> {
        val answers = requests.count { it.isInTime() }.coerceAtLeast(1)
        val calls = requests.flatMap { it.calls }
        return calls.groupBy { it.server.pool.kind }.mapValues { (_, c) -> c.sumOf { it.workMs } / answers }.toSortedMap()
    }

    private fun usefulMs() = requests.filter { it.isInTime() }.sumOf { r -> r.accepted.sumOf { it.workMs } }

    /** A workspace above its rate is served in full once as many were answered in time as came inside its rate. */
    private fun outcomeOf(
        workspace: WorkspaceId,
        filter: (SimRequest) -> Boolean,
    ): WorkspaceOutcome {
        val own = requests.filter { it.workspace == workspace && filter(it) }
        val due = own.count { it.withinRate }
        val inTime = minOf(own.count { it.isInTime() }, due)
        val refused = own.count { it.withinRate && it.refusedAtMs != null && it.refusedAtMs!! < it.deadlineAtMs - 1 }
        return WorkspaceOutcome(due, inTime, minOf(refused, due - inTime))
    }

    private fun SimRequest.isInTime() = answeredAtMs.let { it != null && it - arrivedAtMs <= pipeline.deadlineMs }

    private class WorkspaceOutcome(
        val due: Int,
        val inTime: Int,
        val refused: Int,
    )

    private class RateBucket(
        private val ratePerMs: Double,
    ) {
        private val burst = ratePerMs * BURST_MS + 5
        private var tokens = burst
        private var updatedAtMs = 0.0

        fun tryAcquire(atMs: Double): Boolean {
            tokens = minOf(burst, tokens + (atMs - updatedAtMs) * ratePerMs)
            updatedAtMs = atMs
            if (tokens < 1) return false
            tokens--
            return true
        }
    }

    private companion object {
        const val TICK_MS = 250.0
        const val REPORT_MS = 500.0
        const val REPORT_LAG_MS = 400.0
        const val PEER_LAG_MS = 100.0
        const val EVENT_LAG_MS = 300.0
        const val EVENT_LOSS_RATE = 0.1
        const val CONFIG_LAG_MS = 1_000.0
        const val DRAIN_MS = 10_000.0
        const val SLOW_FACTOR = 3.0
        const val RATE_HEADROOM = 1.3
        const val BURST_MS = 2_000.0
        const val PREFIXES_PER_WORKSPACE = 8
        val FLOODING_WORKSPACE = WorkspaceId("large2")
    }
}
