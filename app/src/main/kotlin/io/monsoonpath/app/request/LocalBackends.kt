package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step
import io.monsoonpath.model.map
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Chooses the backend server with the fewest attempts in flight. */
internal class LeastInFlightChooser : BackendChooser {
    private val inFlight = ConcurrentHashMap<BackendId, AtomicInteger>()

    override fun choose(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
    ): Outcome<BackendSpec> {
        val best =
            exchange.view
                .eligibleBackends(stage.pool)
                .filter { it.id !in excluded }
                .minByOrNull { countOf(it.id).get() }
        return best?.let { Outcome.Ok(it) } ?: refused(RefusalReason.NO_BACKEND, Step.CHOOSE, "no backend server is left in ${stage.pool}")
    }

    override fun onAttemptSent(backend: BackendId) {
        countOf(backend).incrementAndGet()
    }

    override fun onAttemptEnded(report: AttemptReport) {
        countOf(report.backend.id).decrementAndGet()
    }

    private fun countOf(backend: BackendId) = inFlight[backend] ?: inFlight.computeIfAbsent(backend) { AtomicInteger() }
}

/** Provides the permits of a single instance. The number of permits of a backend server is its full load when warm. */
internal class LocalPermitSource : PermitSource {
    private val inUse = ConcurrentHashMap<BackendId, AtomicInteger>()

    override suspend fun acquire(
        backend: BackendSpec,
        deadlineAtMs: Long,
    ): Outcome<Permit> {
        val count = inUse.computeIfAbsent(backend.id) { AtomicInteger() }
        if (count.tryIncrement(backend.fullLoad)) return Outcome.Ok(Permit { count.decrementAndGet() })
        return refused(RefusalReason.OVERLOADED, Step.PERMIT, "${backend.id} has its full load", RETRY_AFTER_MS, backend.id.value)
    }

    private companion object {
        const val RETRY_AFTER_MS = 100L
    }
}

/** Limits retries to a fixed fraction of the first attempts, plus a small reserve. The budget is counted in hundredths of a retry. */
internal class LocalRetryBudget : RetryBudget {
    private val hundredths = AtomicInteger(CAPACITY)

    override fun recordFirstAttempt(stage: StageSpec) {
        hundredths.updateAndGet { minOf(CAPACITY, it + EARNED_PER_ATTEMPT) }
    }

    override fun tryAcquire(stage: StageSpec): Boolean =
        hundredths.getAndUpdate { if (it >= ONE_RETRY) it - ONE_RETRY else it } >= ONE_RETRY

    private companion object {
        const val ONE_RETRY = 100
        const val EARNED_PER_ATTEMPT = 20
        const val CAPACITY = 2_000
    }
}

/** Returns stage deadlines that give each stage all of the remaining time. */
internal fun remainingTimeDeadlines() = StageDeadlines { _, _, remainingMs -> Outcome.Ok(remainingMs) }

/** Returns a resumer that continues streams on the engine chosen by [chooser], without importing a KV cache. */
internal fun chooserResumer(chooser: BackendChooser) =
    StreamResumer { exchange, stage, excluded, _ -> chooser.choose(exchange, stage, excluded).map { ResumePoint(it) } }
