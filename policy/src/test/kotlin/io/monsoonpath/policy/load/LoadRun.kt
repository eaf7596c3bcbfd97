package io.monsoonpath.policy.load

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.WorkspaceId
import java.util.SplittableRandom

/** The policy or baseline under test. */
internal enum class Decider(
    val title: String,
) {
    POLICY("policy"),
    ROUND_ROBIN("round robin + FIFO"),
    LEAST_LOADED("least loaded, lagging"),
}

/**
 * The measures of a run; shares are from 0 to 1.
 *
 * @property attainment the share of requests within the rate limits that were answered in time
 * @property worstAttainment the attainment of the workspace with the lowest one
 * @property refusedWithinRate the share of requests within the rate limits that were refused before their deadline
 * @property wastedShare the share of stage work for requests that were not answered in time, or whose result was not used
 * @property workMsPerAnswer the stage work per request answered in time, by kind of stage
 * @property sendsAboveColdLoad the number of sends to a cold server above its cold load
 * @property attainmentAfterOut the attainment of requests that arrived from 3 s after the domain went out until it returned
 * @property lateSends the number of sends to the domain later than 2 s after it was published as out
 * @property hedgeShare hedges per first attempt
 * @property retryShare retries per first attempt
 * @property duplicateRuns the number of requests with a non-idempotent stage that ran more than once
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

/** Simulates [decider] for [user] under [faults], with a peak rate of [load] times the capacity of the engines. */
internal fun runLoad(
    user: SimUser,
    decider: Decider,
    load: Double,
    faults: Set<Fault>,
    seed: Long,
    options: RunOptions = RunOptions(),
): LoadResult = LoadRun(user, decider, load, faults, seed, options).run()

/**
 * Deviations from the default run, which measure the effect of a single mechanism.
 *
 * @property skew the share of all requests that the load balancer sends to the first instance in addition to its equal share
 * @property borrow whether an instance may use pool capacity that others leave unused
 * @property sharedPermits whether the permits of a cold server are counted over all instances
 * @property exchangeDemand whether the instances scale workspace weights by the demand summaries of their peers
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

    /** Publishes the cache events of [server]. They are delayed, and some are lost. */
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

    /** Counts at most as many requests of [workspace] as answered in time as arrived within its rate limit. */
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
