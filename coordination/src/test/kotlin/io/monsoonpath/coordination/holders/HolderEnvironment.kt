package io.monsoonpath.coordination.holders

import io.monsoonpath.coordination.ClaimOutcome
import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PermitOutcome
import io.monsoonpath.coordination.message.ClaimPhase
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.orders.FencingToken
import io.monsoonpath.coordination.orders.OrderDecision
import io.monsoonpath.coordination.permits.PermitLimits
import io.monsoonpath.coordination.sim.SimNetwork
import io.monsoonpath.coordination.sim.SimNode
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import kotlin.random.Random

/** A simulated backend server: each run starts cold, and its capacity rises with each completion. */
internal class ServerModel(
    val id: BackendId,
    val limits: PermitLimits,
    val reportsRun: Boolean,
) {
    var run = 1
        private set
    val running = HashSet<Long>()
    private var completions = 0
    val accepted = ArrayList<FencingToken>()
    var activeOrder: Pair<SimNode, Long>? = null

    val capacity: Int get() = limits.loadAfter(completions)

    fun restart() {
        run++
        running.clear()
        completions = 0
    }

    fun complete(request: Long): Boolean = running.remove(request).also { if (it) completions++ }
}

/** Counts of the observed operations. */
internal class Tally {
    var claimsGranted = 0
    var duplicates = 0
    var executions = 0
    var sends = 0
    var coldSends = 0
    var loads = 0
    var orders = 0
    var refusedClaims = 0
    var refusedPermits = 0
    val refusals = sortedMapOf<String, Int>()
}

/** Simulates the callers, backend servers and weight store of the instances, and records the first violation of an invariant. */
internal class HolderEnvironment(
    private val network: SimNetwork,
    val servers: List<ServerModel>,
    seed: Long,
    private val violationFilter: String = "",
    private val ttlMs: Long = CLAIM_TIMING.ttlMs,
    private val isInService: (SimNode) -> Boolean = { true },
) {
    private class Connection(
        val run: Int,
        val name: RunId,
    )

    private val random = Random(seed)
    private val lastStartMs = HashMap<Pair<WorkspaceId, RequestId>, Long>()
    private val connections = HashMap<Pair<Any, BackendId>, Connection>()
    private val loadsRunning = HashSet<Long>()
    private val loadStartsMs = ArrayList<Long>()
    private var nextRequest = 1L
    val tally = Tally()

    /** The first violation whose text contains [violationFilter], or null. */
    var violation: String? = null
        private set

    private fun report(text: String) {
        if (violation == null && violationFilter in text) violation = "$text at ${network.nowMs} ms"
    }

    private fun afterDelay(
        delayMs: Long,
        node: SimNode,
        holders: HolderComponent,
        action: () -> Unit,
    ) {
        network.at(network.nowMs + delayMs) { whenRunning(node, holders, action) }
    }

    private fun whenRunning(
        node: SimNode,
        holders: HolderComponent,
        action: () -> Unit,
    ) {
        if (!node.isUp || node.self != holders.self) return
        if (!node.isRunning) {
            network.at(node.pausedUntilMs) { whenRunning(node, holders, action) }
        } else {
            action()
        }
    }

    private fun SimNode.holders() = component<HolderComponent>()

    private fun SimNode.run(effects: List<Effect>) = apply(holders().route(effects))

    private fun pickNode(): SimNode? = network.nodes.filter { it.isRunning && isInService(it) }.randomOrNull(random)

    /** Sends a request now and resends it at random times within its time-to-live, each time through a random instance. */
    fun request(
        workspace: WorkspaceId,
        request: RequestId,
        resends: Int,
    ) {
        val startMs = network.nowMs
        claimAndRun(workspace, request)
        repeat(resends) { network.at(startMs + random.nextLong(ttlMs)) { claimAndRun(workspace, request) } }
    }

    private fun claimAndRun(
        workspace: WorkspaceId,
        request: RequestId,
    ) {
        val node = pickNode() ?: return
        val holders = node.holders()
        val token = holders.nextToken++
        holders.awaitOutcome(token) { effect ->
            when (val outcome = (effect as Effect.ClaimDecided).outcome) {
                is ClaimOutcome.Granted ->
                    afterDelay(
                        random.nextLong(200),
                        node,
                        holders,
                    ) { execute(node, holders, token, workspace to request) }
                is ClaimOutcome.Duplicate -> tally.duplicates++
                is ClaimOutcome.Refused -> tally.refusedClaims++.also { tally.refusals.merge("claim ${outcome.reason}", 1, Int::plus) }
            }
        }
        node.run(holders.claims.claim(node.nowMs, token, workspace, request, budgetMs = 450))
    }

    private fun execute(
        node: SimNode,
        holders: HolderComponent,
        token: Long,
        key: Pair<WorkspaceId, RequestId>,
    ) {
        tally.claimsGranted++
        if (!holders.claims.mayUse(node.nowMs, token)) {
            node.run(holders.claims.release(node.nowMs, token))
            return
        }
        val lastMs = lastStartMs.put(key, network.nowMs)
        if (lastMs != null && network.nowMs - lastMs < ttlMs) report("request $key was started again after ${network.nowMs - lastMs} ms")
        tally.executions++
        val phase = if (random.nextInt(4) == 0) ClaimPhase.UNKNOWN else ClaimPhase.FINISHED
        afterDelay(random.nextLong(800), node, holders) { node.run(holders.claims.finish(node.nowMs, token, phase, "200")) }
    }

    /** Sends a request from a random instance to a random backend server if that is warm or the instance receives a permit. */
    fun sendToServer(budgetMs: Long) {
        val node = pickNode() ?: return
        val server = servers.random(random)
        val holders = node.holders()
        val connection = connect(node, server)
        if (holders.permits.isWarm(server.id, connection.name)) return deliverWarm(node, holders, server, connection)
        val token = holders.nextToken++
        val requestedMs = network.nowMs
        holders.awaitOutcome(token) { effect ->
            when (val outcome = (effect as Effect.PermitDecided).outcome) {
                is PermitOutcome.Granted ->
                    afterDelay(
                        random.nextLong(100),
                        node,
                        holders,
                    ) { sendCold(node, holders, server, connection, token, requestedMs + budgetMs) }
                is PermitOutcome.Warm -> Unit
                is PermitOutcome.Refused -> tally.refusedPermits++.also { tally.refusals.merge("permit ${outcome.reason}", 1, Int::plus) }
            }
        }
        node.run(holders.permits.acquire(node.nowMs, token, server.id, connection.name, budgetMs, waitMs = random.nextLong(200)))
    }

    private fun connect(
        node: SimNode,
        server: ServerModel,
    ): Connection =
        connections.getOrPut(node.self to server.id) {
            Connection(server.run, RunId(if (server.reportsRun) "run${server.run}" else "${node.self}/${nextRequest++}"))
        }

    /** Returns whether the run to which [connection] leads has ended; if so, the instance reconnects and reports the cold start. */
    private fun isBroken(
        node: SimNode,
        holders: HolderComponent,
        server: ServerModel,
        connection: Connection,
    ): Boolean {
        if (connection.run == server.run) return false
        connections.remove(node.self to server.id, connection)
        node.run(holders.permits.reportColdStart(server.id, connect(node, server).name))
        return true
    }

    private fun deliverWarm(
        node: SimNode,
        holders: HolderComponent,
        server: ServerModel,
        connection: Connection,
    ) {
        if (isBroken(node, holders, server, connection)) return
        tally.sends++
        if (server.capacity < server.limits.fullLoad) report("${server.id} was sent a request as warm at a load of ${server.capacity}")
    }

    private fun sendCold(
        node: SimNode,
        holders: HolderComponent,
        server: ServerModel,
        connection: Connection,
        token: Long,
        deadlineMs: Long,
    ) {
        val currentName = connections[node.self to server.id]?.name ?: connection.name
        val maySend = holders.permits.mayUse(node.nowMs, token, currentName)
        if (!maySend || isBroken(node, holders, server, connection)) {
            node.run(holders.permits.finish(node.nowMs, token, isCompleted = false))
            return
        }
        val request = nextRequest++
        server.running += request
        tally.sends++
        if (server.capacity < server.limits.fullLoad) tally.coldSends++
        if (server.running.size > server.capacity) report("${server.id} runs ${server.running.size} requests, limit ${server.capacity}")
        val endMs = if (random.nextInt(5) == 0) deadlineMs + END_AFTER_DEADLINE_MS else network.nowMs + random.nextLong(20, 150)
        val run = server.run
        network.at(minOf(endMs, deadlineMs + END_AFTER_DEADLINE_MS)) {
            if (server.run != run || !server.complete(request)) return@at
            if (network.nowMs < deadlineMs) {
                whenRunning(node, holders) { node.run(holders.permits.finish(node.nowMs, token, isCompleted = true)) }
            }
        }
        network.at(deadlineMs) { whenRunning(node, holders) { node.run(holders.permits.abandon(node.nowMs, token)) } }
    }

    /** Lets each running instance issue a load order to the server if it may. */
    fun order(serverIndex: Int) {
        val server = servers[serverIndex]
        for (node in network.nodes.filter { it.isRunning }) {
            val holders = node.holders()
            val key = "load ${nextRequest++}"
            val decision = holders.orders.issue(node.nowMs, server.id, key)
            if (decision is OrderDecision.Issue) deliverOrder(node, holders, server, decision.fencingToken)
        }
    }

    private fun deliverOrder(
        node: SimNode,
        holders: HolderComponent,
        server: ServerModel,
        fencingToken: FencingToken,
    ) {
        val other = server.activeOrder
        if (other != null && other.first !== node && network.nowMs < other.second) {
            report("${server.id} has concurrent orders from ${other.first.id} and ${node.id}")
        }
        val arrivesMs = network.nowMs + random.nextLong(1, ORDER_MS * 9 / 10)
        server.activeOrder = node to arrivesMs
        network.at(arrivesMs) {
            val last = server.accepted.lastOrNull()
            if (last != null && fencingToken <= last) report("${server.id} accepted $fencingToken from ${node.id} after $last")
            server.accepted += fencingToken
            tally.orders++
            if (random.nextInt(4) != 0) whenRunning(node, holders) { holders.orders.finish(server.id, fencingToken) }
        }
    }

    /** Starts a load from the weight store at a random instance if it receives a permit. */
    fun load() {
        val node = pickNode() ?: return
        val holders = node.holders()
        val token = holders.nextToken++
        val run = RunId("store")
        val requestedMs = network.nowMs
        holders.awaitOutcome(token) { effect ->
            if ((effect as Effect.PermitDecided).outcome is PermitOutcome.Granted) {
                afterDelay(random.nextLong(200), node, holders) { startLoad(node, holders, token, requestedMs) }
            }
        }
        node.run(holders.loads.acquire(node.nowMs, token, STORE, run, budgetMs = 700, waitMs = random.nextLong(300)))
    }

    private fun startLoad(
        node: SimNode,
        holders: HolderComponent,
        token: Long,
        requestedMs: Long,
    ) {
        if (!holders.loads.mayUse(node.nowMs, token, RunId("store"))) {
            node.run(holders.loads.finish(node.nowMs, token, isCompleted = false))
            return
        }
        val id = nextRequest++
        loadsRunning += id
        loadStartsMs += network.nowMs
        tally.loads++
        val recent = loadStartsMs.count { it > network.nowMs - LOAD_TIMING.startWindowMs }
        if (recent > checkNotNull(STORE_LIMITS.startsPerWindow)) report("the weight store had $recent starts within its window")
        if (loadsRunning.size > STORE_LIMITS.fullLoad) report("the weight store serves ${loadsRunning.size} concurrent loads")
        network.at(minOf(network.nowMs + random.nextLong(50, 900), requestedMs + 890)) {
            loadsRunning -= id
            whenRunning(node, holders) { node.run(holders.loads.finish(node.nowMs, token, isCompleted = true)) }
        }
    }

    private companion object {
        const val END_AFTER_DEADLINE_MS = 190L
    }
}
