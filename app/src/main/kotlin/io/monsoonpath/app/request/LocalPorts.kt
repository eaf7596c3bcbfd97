package io.monsoonpath.app.request

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Ran
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.Step
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** A rate limiter for a single instance: a token bucket for each workspace, in millionths of a request. */
internal class LocalRateLimiter(
    private val clock: ClockMs,
) : RateLimiter {
    private class Bucket(
        var levelMicro: Long,
        var atMs: Long,
    )

    private val buckets = ConcurrentHashMap<WorkspaceId, Bucket>()

    override suspend fun acquire(workspace: WorkspaceSpec): Outcome<Unit> {
        val bucket = bucketOf(workspace)
        val missingMicro = synchronized(bucket) { bucket.take(workspace, clock.nowMs()) }
        if (missingMicro == 0L) return Outcome.Ok(Unit)
        val retryAfterMs = missingMicro / workspace.rateMilliPerS + 1
        return refused(RefusalReason.RATE_LIMITED, Step.RATE, "the workspace is above its rate", retryAfterMs)
    }

    override fun refund(workspace: WorkspaceSpec) {
        val bucket = bucketOf(workspace)
        synchronized(bucket) { bucket.levelMicro = minOf(capacityMicro(workspace), bucket.levelMicro + MICRO) }
    }

    private fun bucketOf(workspace: WorkspaceSpec): Bucket =
        buckets.computeIfAbsent(workspace.id) { Bucket(capacityMicro(workspace), clock.nowMs()) }

    /** Takes one request; returns 0, or how much is missing. */
    private fun Bucket.take(
        workspace: WorkspaceSpec,
        nowMs: Long,
    ): Long {
        val refillMicro = Math.multiplyExact(nowMs - atMs, workspace.rateMilliPerS)
        levelMicro = minOf(capacityMicro(workspace), levelMicro + refillMicro)
        atMs = nowMs
        if (levelMicro < MICRO) return MICRO - levelMicro
        levelMicro -= MICRO
        return 0
    }

    private fun capacityMicro(workspace: WorkspaceSpec) = workspace.burst * MICRO

    private companion object {
        const val MICRO = 1_000_000L
    }
}

/** Claims for a single instance, remembered for their time-to-live. */
internal class LocalClaimSource(
    private val clock: ClockMs,
) : ClaimSource {
    private class Entry(
        val untilMs: Long,
        @Volatile var finished: Boolean,
    )

    private val entries = ConcurrentHashMap<Pair<WorkspaceId?, RequestId>, Entry>()

    override suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        ttlMs: Long,
    ): Outcome<Claim> {
        val nowMs = clock.nowMs()
        entries.values.removeIf { it.finished && it.untilMs < nowMs }
        val entry = Entry(nowMs + ttlMs, finished = false)
        val key = workspace to request
        val former = entries.putIfAbsent(key, entry) ?: return Outcome.Ok(LocalClaim(key, entry))
        return if (former.finished) {
            refused(RefusalReason.DUPLICATE_FINISHED, Step.CLAIM, "this request id has run before")
        } else {
            refused(RefusalReason.DUPLICATE_RUNNING, Step.CLAIM, "this request id is running", ran = Ran.UNKNOWN)
        }
    }

    private inner class LocalClaim(
        private val key: Pair<WorkspaceId?, RequestId>,
        private val entry: Entry,
    ) : Claim {
        override fun finish(
            sent: Boolean,
            outcome: Outcome<Answer>,
        ) {
            entry.finished = true
            if (!sent) entries.remove(key, entry)
        }
    }
}

/** A queue for a single instance that bounds how many requests run at once and lets none wait. */
internal class LocalFairQueue(
    private val maxRunning: Int,
) : FairQueue {
    private val running = AtomicInteger()

    override suspend fun enter(exchange: Exchange): Outcome<Turn> {
        if (running.incrementAndGet() <= maxRunning) return Outcome.Ok(Turn { running.decrementAndGet() })
        running.decrementAndGet()
        return refused(RefusalReason.OVERLOADED, Step.QUEUE, "$maxRunning requests are running", RETRY_AFTER_MS)
    }

    private companion object {
        const val RETRY_AFTER_MS = 200L
    }
}

/** Chooses the backend server with the fewest attempts in flight. */
internal class LeastInFlightChooser : BackendChooser {
    private val inFlight = ConcurrentHashMap<BackendId, AtomicInteger>()

    override fun choose(
        exchange: Exchange,
        stage: StageSpec,
        excluded: Set<BackendId>,
    ): Outcome<BackendSpec> {
        val candidates = exchange.view.serving(stage.pool).filter { it.id !in excluded }
        val best = candidates.minByOrNull { countOf(it.id).get() }
        return best?.let { Outcome.Ok(it) } ?: refused(RefusalReason.NO_BACKEND, Step.CHOOSE, "no backend server in ${stage.pool}")
    }

    override fun sent(backend: BackendId) {
        countOf(backend).incrementAndGet()
    }

    override fun ended(
        backend: BackendId,
        stage: StageSpec,
        tookMs: Long,
        succeeded: Boolean,
    ) {
        countOf(backend).decrementAndGet()
    }

    private fun countOf(backend: BackendId) = inFlight.computeIfAbsent(backend) { AtomicInteger() }
}

/** Permits for a single instance: as many at once as the backend server bears when warm. */
internal class LocalPermitSource : PermitSource {
    private val held = ConcurrentHashMap<BackendId, AtomicInteger>()

    override suspend fun acquire(
        backend: BackendSpec,
        deadlineAtMs: Long,
    ): Outcome<Permit> {
        val count = held.computeIfAbsent(backend.id) { AtomicInteger() }
        if (count.incrementAndGet() <= backend.fullLoad) return Outcome.Ok(Permit { count.decrementAndGet() })
        count.decrementAndGet()
        return refused(RefusalReason.OVERLOADED, Step.PERMIT, "${backend.id} has its full load", peer = backend.id.value)
    }
}

/** Returns a refusal; unless said otherwise, nothing has run. */
internal fun refused(
    reason: RefusalReason,
    step: Step,
    detail: String,
    retryAfterMs: Long? = null,
    peer: String? = null,
    ran: Ran = Ran.NOT_RUN,
) = Outcome.Refused(Refusal(reason, ran, step, detail, peer, retryAfterMs = retryAfterMs))
