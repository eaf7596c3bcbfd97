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
 * @property worstWorkspace the same for the workspace that fared worst
 * @property refusedInsideRate refused before its deadline, of what came inside the rates
 * @property wasted stage work for requests that were not answered in time, or whose result was not used
 * @property workMsPerAnswer stage work for a request answered in time, by kind of stage
 * @property sendsAboveColdLoad sends to a cold server beyond what it bears
 * @property afterLeaving attainment of requests begun more than 3 s after the domain left and before it returned
 * @property lateSends sends into the domain later than 2 s after it was published as out
 */
internal data class LoadResult(
    val requests: Int,
    val attainment: Double,
    val worstWorkspace: Double,
    val refusedInsideRate: Double,
    val wasted: Double,
    val workMsPerAnswer: Map<StageKind, Double>,
    val sendsAboveColdLoad: Int,
    val afterLeaving: Double,
    val lateSends: Int,
    val hedgeShare: Double,
    val retryShare: Double,
    val doubleRuns: Int,
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

    private fun domain(i: Int) = FailureDomain("fd${i % DOMAINS + 1}")

    private fun servers(random: SplittableRandom) =
        user.pools.flatMap { pool ->
            List(pool.servers) { i -> SimServer(BackendId("${pool.name}$i"), domain(i), pool, timeline, random) }
        }

    private fun instance(i: Int): SimInstance {
        val domain = domain(i)
        return when (decider) {
            Decider.POLICY -> policyInstance(i, domain)
            Decider.ROUND_ROBIN -> PlainInstance(world, domain, PlainChoice.ROUND_ROBIN)
            Decider.LEAST_LOADED -> PlainInstance(world, domain, PlainChoice.LEAST_LOADED)
        }
    }

    private fun policyInstance(
        i: Int,
        domain: FailureDomain,
    ) = PolicyInstance(InstanceId("e$i"), world, domain, if (options.sharedPermits) permits else newPermits(), options.borrow)

    private fun exchangeDemand() {
        val policies = instances.filterIsInstance<PolicyInstance>()
        val summaries = policies.map { it.demand() }
        timeline.after(PEER_LAG_MS) { policies.forEach { to -> summaries.forEach { to.onDemand(it) } } }
    }

    private fun scheduleArrivals() {
        val peakPerMs = load * user.capacityPerMs
        for ((workspace, share) in user.workspaces) {
            buckets[workspace] = RateBucket(peakPerMs * share * RATE_HEADROOM)
            val most = if (workspace == FLOODER) FLOOD_FACTOR else 1.0
            var atMs = 0.0
            while (true) {
                atMs += -kotlin.math.ln(arrivals.nextDouble()) / (peakPerMs * share * most)
                if (atMs >= RUN_MS) break
                val flooding = Fault.FLOOD in faults && atMs in FAULT_AT_MS..FAULT_END_MS
                val now = eveningPeak(atMs) * (if (workspace == FLOODER && flooding) FLOOD_FACTOR else 1.0) / most
                if (arrivals.nextDouble() < now) arrive(workspace, atMs)
            }
        }
    }

    private fun arrive(
        workspace: WorkspaceId,
        atMs: Double,
    ) {
        val pick = arrivals.nextDouble()
        var sum = 0.0
        val pipeline = user.pipelines.first { p -> (sum + p.share).also { sum = it } >= pick || p === user.pipelines.last() }
        val prefix = workspace.hashCode() * 31L + arrivals.nextInt(PREFIXES)
        val request = SimRequest(workspace, pipeline, atMs, buckets.getValue(workspace).take(atMs), prefix)
        requests += request
        val skewed = arrivals.nextDouble() < options.skew
        val instance = if (skewed) instances.first() else instances[arrivals.nextInt(instances.size)]
        timeline.after(atMs + user.clientDistanceMs / 2) { instance.enter(request) }
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
            val lost = random.nextDouble() < LOST_EVENTS
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
                publish(FAULT_AT_MS, out = true)
                publish(FAULT_END_MS, out = false)
            }
        }
    }

    private fun publish(
        atMs: Double,
        out: Boolean,
    ) {
        for (instance in instances) {
            timeline.after(atMs) { instance.publishedOutAtMs = atMs.takeIf { out } }
            timeline.after(atMs + random.nextDouble() * CONFIG_LAG_MS) { instance.onDomain(OUT_DOMAIN, out) }
        }
    }

    private fun result(): LoadResult {
        val served = user.workspaces.keys.map { served(it) { true } }
        val later = user.workspaces.keys.map { served(it) { r -> r.arrivedMs in FAULT_AT_MS + 3_000..FAULT_END_MS } }
        val policies = instances.filterIsInstance<PolicyInstance>()
        val first = policies.sumOf { it.firstAttempts }.coerceAtLeast(1)
        return LoadResult(
            requests = requests.size,
            attainment = served.sumOf { it.inTime }.toDouble() / served.sumOf { it.due },
            worstWorkspace = served.minOf { it.inTime.toDouble() / it.due },
            refusedInsideRate = served.sumOf { it.refused }.toDouble() / served.sumOf { it.due },
            wasted = 1 - usefulMs() / requests.sumOf { r -> r.calls.sumOf { it.workMs } },
            workMsPerAnswer = workMsPerAnswer(),
            sendsAboveColdLoad = world.servers.sumOf { it.sendsAboveColdLoad },
            afterLeaving = later.sumOf { it.inTime }.toDouble() / later.sumOf { it.due },
            lateSends = instances.sumOf { it.lateSends },
            hedgeShare = policies.sumOf { it.extraAttempts[0] }.toDouble() / first,
            retryShare = policies.sumOf { it.extraAttempts[1] }.toDouble() / first,
            doubleRuns = requests.count { r -> r.calls.groupBy { it.stage }.any { (i, calls) -> isDoubleRun(r, i, calls) } },
        )
    }

    private fun isDoubleRun(
        request: SimRequest,
        stage: Int,
        calls: List<SimCall>,
    ) = !request.pipeline.stages[stage].idempotent && calls.count { it.startedMs >= 0 } > 1

    private fun workMsPerAnswer(): Map<StageKind, Double> {
        val answers = requests.count { it.isInTime() }.coerceAtLeast(1)
        val calls = requests.flatMap { it.calls }
        return calls.groupBy { it.server.pool.kind }.mapValues { (_, c) -> c.sumOf { it.workMs } / answers }.toSortedMap()
    }

    private fun usefulMs() = requests.filter { it.isInTime() }.sumOf { r -> r.accepted.sumOf { it.workMs } }

    /** A workspace above its rate is served in full once as many were answered in time as came inside its rate. */
    private fun served(
        workspace: WorkspaceId,
        filter: (SimRequest) -> Boolean,
    ): Served {
        val own = requests.filter { it.workspace == workspace && filter(it) }
        val due = own.count { it.insideRate }
        val inTime = minOf(own.count { it.isInTime() }, due)
        val refused = own.count { it.insideRate && it.refusedMs != null && it.refusedMs!! < it.deadlineAtMs - 1 }
        return Served(due, inTime, minOf(refused, due - inTime))
    }

    private fun SimRequest.isInTime() = answeredMs.let { it != null && it - arrivedMs <= pipeline.deadlineMs }

    private class Served(
        val due: Int,
        val inTime: Int,
        val refused: Int,
    )

    private class RateBucket(
        private val ratePerMs: Double,
    ) {
        private val burst = ratePerMs * BURST_MS + 5
        private var level = burst
        private var lastMs = 0.0

        fun take(atMs: Double): Boolean {
            level = minOf(burst, level + (atMs - lastMs) * ratePerMs)
            lastMs = atMs
            if (level < 1) return false
            level--
            return true
        }
    }

    private companion object {
        const val TICK_MS = 250.0
        const val REPORT_MS = 500.0
        const val REPORT_LAG_MS = 400.0
        const val PEER_LAG_MS = 100.0
        const val EVENT_LAG_MS = 300.0
        const val LOST_EVENTS = 0.1
        const val CONFIG_LAG_MS = 1_000.0
        const val DRAIN_MS = 10_000.0
        const val SLOW_FACTOR = 3.0
        const val RATE_HEADROOM = 1.3
        const val BURST_MS = 2_000.0
        const val PREFIXES = 8
        val FLOODER = WorkspaceId("large2")
    }
}
