package io.monsoonpath.app.policy

import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.AttemptEnd
import io.monsoonpath.app.request.AttemptReport
import io.monsoonpath.app.request.BackendChooser
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step
import io.monsoonpath.policy.choice.Candidate
import io.monsoonpath.policy.choice.Choice
import io.monsoonpath.policy.choice.ChoiceQuery
import io.monsoonpath.policy.choice.OutlierEjection
import io.monsoonpath.policy.choice.PoolView
import io.monsoonpath.policy.choice.PrefixHints
import io.monsoonpath.policy.choice.TrackedBackend
import io.monsoonpath.policy.choice.poolView
import io.monsoonpath.policy.choice.trackedBackend
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ThreadLocalRandom
import java.util.concurrent.atomic.AtomicReference
import io.monsoonpath.policy.choice.BackendChooser as ChoicePolicy

/**
 * Chooses backend servers by their expected completion time, and records the stage durations from which stage deadlines are derived.
 *
 * The load limit of a cold backend server is enforced by the permits; the choice uses the full load limit of every backend server.
 *
 * @param ownDomain the failure domain of this instance
 */
internal class PolicyBackendChooser(
    private val clock: ClockMs,
    private val ownDomain: FailureDomain,
    private val durations: StageDurationTracker,
) : BackendChooser {
    private val policy = ChoicePolicy(PrefixHints(PREFIX_SLOTS))
    private val tracked = ConcurrentHashMap<BackendId, TrackedBackend>()
    private val pools = ConcurrentHashMap<PoolId, AtomicReference<PoolState?>>()

    override fun choose(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
    ): Outcome<BackendSpec> {
        val nowMs = clock.nowMs()
        val state = stateOf(stage.pool, exchange.view, nowMs)
        val query = ChoiceQuery(durations.of(stage).summary.medianMs, excluded = excluded.toList())
        return when (val choice = policy.choose(state.view, query, nowMs, ThreadLocalRandom.current().nextLong())) {
            is Choice.Chosen -> Outcome.Ok(state.specs.getValue(choice.backend.id))
            Choice.NoBackend -> refused(RefusalReason.NO_BACKEND, Step.CHOOSE, "no backend server is left in ${stage.pool}")
            Choice.AllBusy -> refused(RefusalReason.OVERLOADED, Step.CHOOSE, "every backend server of ${stage.pool} is in a cold start")
        }
    }

    override fun onAttemptSent(backend: BackendId) {
        tracked[backend]?.recordStart()
    }

    override fun onAttemptEnded(report: AttemptReport) {
        val backend = tracked[report.backend.id] ?: return
        val stage = durations.of(report.stage)
        val ratio = report.tookMs / stage.summary.medianMs.coerceAtLeast(1.0)
        when (report.end) {
            AttemptEnd.ANSWERED -> {
                stage.record(report.tookMs)
                backend.recordEnd(ratio, ok = true, clock.nowMs())
            }
            AttemptEnd.FAILED, AttemptEnd.TIMED_OUT, AttemptEnd.NOT_SENT -> backend.recordEnd(ratio, ok = false, clock.nowMs())
            AttemptEnd.CANCELLED -> backend.recordAbandoned()
        }
    }

    private fun stateOf(
        pool: PoolId,
        view: ConfigurationView,
        nowMs: Long,
    ): PoolState {
        val stateRef = pools.computeIfAbsent(pool) { AtomicReference() }
        val current = stateRef.get()
        if (current != null && current.configuration === view && nowMs - current.createdAtMs < REFRESH_MS) return current
        val next = newState(pool, view, nowMs, current?.ejection ?: OutlierEjection())
        return if (stateRef.compareAndSet(current, next)) next else stateRef.get() ?: next
    }

    private fun newState(
        pool: PoolId,
        view: ConfigurationView,
        nowMs: Long,
        ejection: OutlierEjection,
    ): PoolState {
        val specs = view.eligibleBackends(pool)
        val candidates = specs.map { Candidate(track(it), if (it.domain == ownDomain) SAME_DOMAIN_MS else OTHER_DOMAIN_MS) }
        synchronized(ejection) { ejection.update(candidates.map { it.backend }, nowMs) }
        return PoolState(view, nowMs, poolView(candidates, emptyList(), nowMs), specs.associateBy { it.id }, ejection)
    }

    /** Returns the tracked state of [spec], which is reset when the full load or the failure domain of the backend server changes. */
    private fun track(spec: BackendSpec): TrackedBackend =
        tracked.compute(spec.id) { _, known ->
            val same = known != null && known.fullLoad == spec.fullLoad && known.domain == spec.domain
            if (same) known else trackedBackend(spec).also { it.updateLoadLimit(spec.fullLoad) }
        } ?: error("backend server ${spec.id} is not tracked")

    private class PoolState(
        val configuration: ConfigurationView,
        val createdAtMs: Long,
        val view: PoolView,
        val specs: Map<BackendId, BackendSpec>,
        val ejection: OutlierEjection,
    )

    private companion object {
        const val REFRESH_MS = 250L
        const val PREFIX_SLOTS = 4_096
        const val SAME_DOMAIN_MS = 0.2
        const val OTHER_DOMAIN_MS = 1.0
    }
}
