package io.monsoonpath.policy.load

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.choice.BackendChooser
import io.monsoonpath.policy.choice.Candidate
import io.monsoonpath.policy.choice.Choice
import io.monsoonpath.policy.choice.ChoiceQuery
import io.monsoonpath.policy.choice.LoadReport
import io.monsoonpath.policy.choice.OutlierEjection
import io.monsoonpath.policy.choice.PoolView
import io.monsoonpath.policy.choice.PrefixHints
import io.monsoonpath.policy.choice.TrackedBackend
import io.monsoonpath.policy.choice.poolView
import io.monsoonpath.policy.deadline.DeadlinePlan
import io.monsoonpath.policy.deadline.StageDecision
import io.monsoonpath.policy.deadline.StageDurations
import io.monsoonpath.policy.fairness.DemandSummary
import io.monsoonpath.policy.fairness.FairShareQueue
import io.monsoonpath.policy.fairness.PoolWindow
import io.monsoonpath.policy.fairness.QueueResult
import io.monsoonpath.policy.fairness.QueuedRequest
import io.monsoonpath.policy.fairness.ReceivedDemand
import io.monsoonpath.policy.fairness.demandWeights
import io.monsoonpath.policy.retry.AttemptFailure
import io.monsoonpath.policy.retry.FailedAttempt
import io.monsoonpath.policy.retry.RetryDecision
import io.monsoonpath.policy.retry.decideRetry
import io.monsoonpath.policy.retry.hedgeBudget
import io.monsoonpath.policy.retry.hedgeDelayMsOrNull
import io.monsoonpath.policy.retry.retryBudget
import io.monsoonpath.policy.warmth.Ramp
import io.monsoonpath.policy.warmth.WarmthEvent
import io.monsoonpath.policy.warmth.WarmthState
import io.monsoonpath.policy.warmth.WarmthTracker
import kotlin.math.sqrt

/** The permits of one server. Stands in for the instance that grants them. */
internal class SimPermits(
    server: SimServer,
) {
    val ramp = Ramp(server.pool.coldLoad, server.pool.fullLoad).also { r -> repeat(WARM_UP_COMPLETIONS) { r.recordAnswer(1.0) } }
    var epoch = 1L
        private set
    var held = 0

    /** Restarts the ramp if [newEpoch] is newer; permits of earlier epochs become invalid. */
    fun restart(newEpoch: Long) {
        if (newEpoch <= epoch) return
        epoch = newEpoch
        ramp.reset()
        held = 0
    }

    fun tryAcquire(): Boolean = (held < ramp.limit).also { if (it) held++ }

    private companion object {
        const val WARM_UP_COMPLETIONS = 10_000
    }
}

/** The state of one stage of one request. */
internal class StageRun(
    val request: SimRequest,
    val stage: Int,
) {
    val excluded = mutableListOf<BackendId>()
    val calls = mutableListOf<SimCall>()
    var attempts = 0
    var startedAtMs = 0.0
    var done = false
}

/** A simulated instance that uses the policies of this module. */
internal class PolicyInstance(
    val id: InstanceId,
    world: SimWorld,
    domain: FailureDomain,
    private val permits: Map<SimServer, SimPermits>,
    private val borrow: Boolean,
) : SimInstance(world, domain) {
    private val hints = PrefixHints(slots = 1_024)
    private val chooser = BackendChooser(hints)
    private val backends = world.servers.associateWith { TrackedBackend(it.id, it.domain, it.pool.fullLoad, it.pool.coldLoad).warm() }
    private val warmth = world.servers.associateWith { WarmthTracker(0).also { w -> w.handle(WarmthEvent.RampCompleted(null), 0) } }
    private val ejections = world.user.pools.associate { it.name to OutlierEjection() }
    private val queues = world.user.pools.associate { it.name to fairQueue() }
    private val windows = world.user.pools.associate { it.name to PoolWindow() }
    private val durations = stages.associateWith { (pipeline, i) -> StageDurations(pipeline.stages[i].baseMs.toLong()) }
    private var plans = buildPlans()
    private var views = buildViews()
    private val retries = retryBudget()
    private val hedges = hedgeBudget()
    var extraAttempts = IntArray(2)
        private set
    var firstAttempts = 0
        private set
    private val nowMs: Long get() = world.timeline.nowMs.toLong()

    override fun submit(request: SimRequest) = runStage(StageRun(request, 0))

    override fun onReports(inFlight: Map<SimServer, Int>) {
        inFlight.forEach { (server, load) ->
            val backend = backends.getValue(server)
            backend.recordReport(LoadReport(load, Incarnation(server.epoch), nowMs, backend.ownInFlight))
        }
    }

    override fun onPrefixEvent(
        server: SimServer,
        seq: Long,
        prefix: Long,
    ) {
        hints.recordEvent(server.id, seq, nowMs)
        hints.recordStored(prefix, server.id, nowMs)
    }

    override fun onDomainChange(
        changed: FailureDomain,
        out: Boolean,
    ) {
        super.onDomainChange(changed, out)
        if (!out) world.servers.filter { it.domain == changed }.forEach { handleReturn(it) }
        views = buildViews()
        queues.keys.forEach { dispatch(it) }
    }

    override fun onTick() {
        queues.values.forEach { queue -> queue.expire(nowMs).forEach { refuse(it.payload.request) } }
        durations.values.forEach { it.rotate(nowMs) }
        world.user.pools.forEach { pool ->
            ejections.getValue(pool.name).update(world.serversOf(pool.name).map { backends.getValue(it) }, nowMs)
        }
        plans = buildPlans()
        views = buildViews()
        views.forEach { (pool, view) -> windows.getValue(pool).update(view, world.user.instances, nowMs, borrow) }
        queues.keys.forEach { dispatch(it) }
    }

    private val configuredWeights = world.user.workspaces.mapValues { (sqrt(it.value) * 100).toInt() }
    private val requestedMs = HashMap<WorkspaceId, Double>()
    private val peerDemands = HashMap<InstanceId, ReceivedDemand>()
    private var lastDemand = emptyMap<WorkspaceId, Double>()

    private fun fairQueue(): FairShareQueue<StageRun> {
        val queue = FairShareQueue<StageRun>(MAX_QUEUED)
        world.user.workspaces.forEach { (workspace, share) -> queue.configure(workspace, weight = sqrt(share)) }
        return queue
    }

    private fun TrackedBackend.warm() = also { it.updateLoadLimit(fullLoad) }

    private fun buildPlans() =
        world.user.pipelines.associateWith { p -> DeadlinePlan(p.stages.indices.map { durations.getValue(p to it).summary }) }

    private fun buildViews(): Map<String, PoolView> =
        world.user.pools.associate { pool ->
            val usable = world.serversOf(pool.name).filter { it.domain !in domainsOut }
            pool.name to poolView(usable.map { Candidate(backends.getValue(it), world.distanceMs(domain, it.domain)) }, emptyList(), nowMs)
        }

    private fun runStage(run: StageRun) {
        val request = run.request
        val plan = plans.getValue(request.pipeline)
        val waitMs = (run.stage..request.pipeline.stages.lastIndex).sumOf { waitMs(request, it) }
        when (plan.decide(run.stage, nowMs, request.deadlineAtMs, waitMs)) {
            is StageDecision.DeadlineUnreachable -> refuse(request)
            is StageDecision.Run -> enqueue(run, plan)
        }
    }

    private fun waitMs(
        request: SimRequest,
        stage: Int,
    ): Double {
        val pool = request.pipeline.stages[stage].pool
        return queues.getValue(pool).expectedWaitMs(request.workspace, windows.getValue(pool).currentLimit, nowMs)
    }

    private fun enqueue(
        run: StageRun,
        plan: DeadlinePlan,
    ) {
        val request = run.request
        val neededMs = if (run.attempts == 0) plan.conservativeMs(run.stage) else plan.typicalMs(run.stage)
        val latestStartMs = request.deadlineAtMs - neededMs.toLong()
        val costMs = durations.getValue(request.pipeline to run.stage).summary.medianMs
        val pool = request.pipeline.stages[run.stage].pool
        if (run.attempts == 0) requestedMs.merge(request.workspace, costMs, Double::plus)
        val queued = QueuedRequest(request.workspace, request.deadlineAtMs, latestStartMs, costMs, priority = 0, run)
        refuseAll(queues.getValue(pool).enqueue(queued, nowMs))
        dispatch(pool)
    }

    /** Updates the moving average of the requested stage time by the time requested since the last call, and returns it. */
    fun collectDemand(): DemandSummary {
        val smoothed =
            world.user.workspaces.keys.associateWith {
                (1 - DEMAND_SMOOTHING) * (lastDemand[it] ?: 0.0) +
                    DEMAND_SMOOTHING * (requestedMs.remove(it) ?: 0.0)
            }
        lastDemand = smoothed
        return DemandSummary(id, smoothed)
    }

    fun onDemand(summary: DemandSummary) {
        peerDemands[summary.instance] = ReceivedDemand(summary, nowMs)
        val weights = demandWeights(configuredWeights, DemandSummary(id, lastDemand), peerDemands.values.toList(), nowMs)
        queues.values.forEach { queue -> weights.forEach { (workspace, weight) -> queue.configure(workspace, weight) } }
    }

    private fun refuseAll(result: QueueResult<StageRun>) {
        result.expired.forEach { refuse(it.payload.request) }
        result.dropped?.let { refuse(it.payload.request) }
    }

    private fun dispatch(pool: String) {
        val queue = queues.getValue(pool)
        val window = windows.getValue(pool)
        while (queue.size > 0 && window.tryAcquire()) {
            val result = queue.dequeue(nowMs)
            refuseAll(result)
            val next = result.started
            if (next == null) {
                window.release()
            } else if (!sendAttempt(next.payload)) {
                window.release()
                next.payload.excluded.clear()
                queue.correctCost(next.workspace, next.costMs, actualMs = 0.0)
                refuseAll(queue.enqueue(next, nowMs))
                return
            }
        }
    }

    /** Sends one attempt; returns false if no server has capacity for it. */
    private fun sendAttempt(run: StageRun): Boolean {
        val chosen = choose(run) ?: return false
        val server = world.byId.getValue(chosen.backend.id)
        val plan = plans.getValue(run.request.pipeline)
        if (run.attempts++ == 0) startRun(run, plan)
        chosen.backend.recordStart()
        val call = send(run.request, run.stage, server) { call, failure -> handleEnd(run, call, failure) }
        call.hasPermit = chosen.backend.needsPermit
        call.expectedMs = chosen.baselineMs
        run.calls += call
        return true
    }

    private fun startRun(
        run: StageRun,
        plan: DeadlinePlan,
    ) {
        val stage = run.request.pipeline.stages[run.stage]
        firstAttempts++
        retries.recordFirstAttempt()
        hedges.recordFirstAttempt()
        run.startedAtMs = world.timeline.nowMs
        val summary = durations.getValue(run.request.pipeline to run.stage).summary
        val remainingMs = run.request.deadlineAtMs - nowMs - plan.typicalMs(run.stage + 1).toLong()
        world.timeline.after(remainingMs.toDouble()) { timeOut(run) }
        hedgeDelayMsOrNull(stage.idempotent, summary, remainingMs)?.let { delay -> world.timeline.after(delay.toDouble()) { hedge(run) } }
    }

    private fun timeOut(run: StageRun) {
        if (run.done || run.request.isOver) return
        run.done = true
        refuse(run.request)
        run.calls.forEach { cancel(it, run) }
    }

    private fun hedge(run: StageRun) {
        val window =
            windows.getValue(
                run.request.pipeline.stages[run.stage]
                    .pool,
            )
        if (run.done || run.attempts != 1 || !window.tryAcquire()) return
        run.excluded +=
            run.calls
                .last()
                .server.id
        if (!hedges.tryAcquire() || !sendAttempt(run)) window.release() else extraAttempts[0]++
    }

    private fun choose(run: StageRun): Choice.Chosen? {
        val stage = run.request.pipeline.stages[run.stage]
        val prefix = run.request.prefixHash.takeIf { stage.prefixSaving > 0 }
        val expectedMs = durations.getValue(run.request.pipeline to run.stage).summary.medianMs
        val tried = run.excluded.toMutableList()
        repeat(world.serversOf(stage.pool).size) {
            val query = ChoiceQuery(expectedMs, prefix, stage.prefixSaving, tried)
            val chosen = chooser.choose(views.getValue(stage.pool), query, nowMs, world.random.nextLong()) as? Choice.Chosen ?: return null
            val server = world.byId.getValue(chosen.backend.id)
            if (isConnectionBroken(server)) handleRestart(server)
            if (server.domain !in domainsOut &&
                (!backends.getValue(server).needsPermit || permits.getValue(server).tryAcquire())
            ) {
                return chosen
            }
            tried += server.id
        }
        return null
    }

    private fun handleRestart(server: SimServer) {
        reconnect(server)
        permits.getValue(server).restart(server.epoch)
        warmth.getValue(server).handle(WarmthEvent.Connected, nowMs)
        backends.getValue(server).reset()
        hints.invalidate(server.id, nowMs)
        applyRampLimit(server)
    }

    private fun handleReturn(server: SimServer) {
        warmth.getValue(server).handle(WarmthEvent.ReturnedToService, nowMs)
        applyRampLimit(server)
    }

    private fun applyRampLimit(server: SimServer) {
        val ramp = permits.getValue(server).ramp
        if (ramp.isWarm) warmth.getValue(server).handle(WarmthEvent.RampCompleted(null), nowMs)
        val warm = warmth.getValue(server).state is WarmthState.Warm
        backends.getValue(server).updateLoadLimit(if (warm) server.pool.fullLoad else ramp.limit)
    }

    private fun handleEnd(
        run: StageRun,
        call: SimCall,
        failure: AttemptFailure?,
    ) {
        release(run, call, failure)
        if (!run.done) {
            if (failure == null) handleSuccess(run, call) else handleFailure(run, call, failure)
        }
        dispatch(
            run.request.pipeline.stages[run.stage]
                .pool,
        )
    }

    private fun release(
        run: StageRun,
        call: SimCall,
        failure: AttemptFailure?,
    ) {
        if (call.released) return
        call.released = true
        val tookMs = world.timeline.nowMs - call.sentAtMs
        val medianMs =
            durations
                .getValue(run.request.pipeline to run.stage)
                .summary.medianMs
                .coerceAtLeast(1.0)
        backends.getValue(call.server).recordEnd(tookMs / call.expectedMs, failure == null, nowMs)
        windows.getValue(call.server.pool.name).release()
        if (isConnectionBroken(call.server)) handleRestart(call.server)
        releasePermit(call, if (failure == null) tookMs / medianMs else null)
    }

    private fun releasePermit(
        call: SimCall,
        durationRatio: Double?,
    ) {
        val permit = permits.getValue(call.server)
        if (!call.hasPermit || permit.epoch != call.epoch) return
        permit.held--
        durationRatio?.let { permit.ramp.recordAnswer(it) }
        applyRampLimit(call.server)
    }

    private fun handleSuccess(
        run: StageRun,
        call: SimCall,
    ) {
        run.done = true
        val request = run.request
        val tookMs = world.timeline.nowMs - run.startedAtMs
        val stage = durations.getValue(request.pipeline to run.stage)
        queues.getValue(call.server.pool.name).correctCost(request.workspace, stage.summary.medianMs, tookMs)
        stage.record(tookMs.toLong())
        request.accepted += call
        run.calls.filter { it !== call }.forEach { cancel(it, run) }
        if (run.stage == request.pipeline.stages.lastIndex) answer(request) else runStage(StageRun(request, run.stage + 1))
    }

    private fun cancel(
        call: SimCall,
        run: StageRun,
    ) {
        if (call.released) return
        call.released = true
        super.cancel(call)
        backends.getValue(call.server).recordAbandoned()
        windows
            .getValue(
                run.request.pipeline.stages[run.stage]
                    .pool,
            ).release()
        world.timeline.after(world.distanceMs(domain, call.server.domain)) { releasePermit(call, null) }
    }

    private fun handleFailure(
        run: StageRun,
        call: SimCall,
        failure: AttemptFailure,
    ) {
        run.calls -= call
        if (run.calls.any { !it.ended }) return
        run.excluded += call.server.id
        val request = run.request
        val plan = plans.getValue(request.pipeline)
        val remainingMs = request.deadlineAtMs - nowMs - plan.typicalMs(run.stage + 1).toLong()
        val idempotent = request.pipeline.stages[run.stage].idempotent
        val neededMs = durations.getValue(request.pipeline to run.stage).summary.medianMs
        val decision = decideRetry(FailedAttempt(failure, idempotent, run.attempts, remainingMs, neededMs), retries)
        if (decision !is RetryDecision.Retry) return refuse(request)
        extraAttempts[1]++
        enqueue(run, plan)
    }

    private companion object {
        const val MAX_QUEUED = 1_000
        const val DEMAND_SMOOTHING = 0.05
    }
}
