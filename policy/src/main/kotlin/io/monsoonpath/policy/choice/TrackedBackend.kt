package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.FailureDomain
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.exp

/**
 * The state of a backend server as observed by one instance. Thread-safe.
 *
 * @property id the identifier of the server
 * @property domain its failure domain
 * @property fullLoad the number of concurrent requests that it can handle when warm
 * @property coldLoad the number of concurrent requests that it can handle in a cold start
 * @param reportDecayMs the time in milliseconds over which the weight of a load report falls to 37 %
 */
class TrackedBackend(
    val id: BackendId,
    val domain: FailureDomain,
    val fullLoad: Int,
    val coldLoad: Int,
    private val reportDecayMs: Double = REPORT_DECAY_MS,
) {
    private val inFlight = AtomicInteger()
    private val slowness = AtomicReference(Slowness.UNKNOWN)
    private val failureCount = AtomicInteger()
    private val ejectedUntilMs = AtomicLong(Long.MIN_VALUE)
    private val currentLimit = AtomicInteger(coldLoad)
    private val report = AtomicReference<LoadReport?>(null)

    /** The number of this instance's requests that are running on the server. */
    val ownInFlight: Int get() = inFlight.get()

    /** The number of failures since the last success. */
    val consecutiveFailures: Int get() = failureCount.get()

    /** The number of durations from which [slowness] was computed. */
    val observations: Long get() = slowness.get().observations

    /** The latest load report, or null before the first one. */
    val reportOrNull: LoadReport? get() = report.get()

    /** The number of concurrent requests that the server can currently handle; less than [fullLoad] during a ramp. */
    val loadLimit: Int get() = currentLimit.get()

    /** Whether each send needs a permit, as during a ramp. */
    val needsPermit: Boolean get() = currentLimit.get() < fullLoad

    /** Sets [loadLimit] to [load], limited to the range from [coldLoad] to [fullLoad]. */
    fun updateLoadLimit(load: Int) = currentLimit.set(load.coerceIn(coldLoad, fullLoad))

    /** Records that a request was sent. Exactly one call of [recordEnd] or [recordAbandoned] must follow. */
    fun recordStart() {
        inFlight.incrementAndGet()
    }

    /** Records the end of a request that gives no evidence about the server, for example a cancelled one. */
    fun recordAbandoned() {
        inFlight.decrementAndGet()
    }

    /**
     * Records the end of a request.
     *
     * @param ratio the duration divided by the expected duration at the load at the time of the send
     * @param ok whether the server answered
     */
    fun recordEnd(
        ratio: Double,
        ok: Boolean,
        nowMs: Long,
    ) {
        inFlight.decrementAndGet()
        if (ok) failureCount.set(0) else failureCount.incrementAndGet()
        if (ok) recordRatio(ratio, nowMs)
    }

    /** Records the [ratio] of a measured to the expected duration of a request, whose end is recorded separately. */
    fun recordRatio(
        ratio: Double,
        nowMs: Long,
    ) {
        slowness.updateAndGet { it.updatedWith(ratio.coerceIn(MIN_RATIO, MAX_RATIO), nowMs) }
    }

    /** Records a load report; [latest] replaces the previous one. */
    fun recordReport(latest: LoadReport) = report.set(latest)

    /** Discards the observations of earlier processes at this address and resets [loadLimit] to [coldLoad]. */
    fun reset() {
        slowness.set(Slowness.UNKNOWN)
        failureCount.set(0)
        currentLimit.set(coldLoad)
        report.set(null)
    }

    /** Excludes the server from selection until [untilMs]. */
    fun eject(untilMs: Long) = ejectedUntilMs.set(untilMs)

    /** Returns whether the server is excluded from selection at [nowMs]. */
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs.get()

    /** Returns the factor by which the server takes longer than expected; it decays towards 1 while no durations are recorded. */
    fun slowness(nowMs: Long): Double = slowness.get().valueAt(nowMs)

    /**
     * Returns the expected load over all instances.
     *
     * The load of other instances is taken from the latest report, and decays towards the mean of the pool as the report ages.
     *
     * @param meanUtilisation the mean ratio of load to full load in the pool
     */
    fun expectedLoad(
        nowMs: Long,
        meanUtilisation: Double,
    ): Double {
        val own = inFlight.get()
        val typicalOthers = (meanUtilisation * fullLoad - own).coerceAtLeast(0.0)
        val latest = report.get() ?: return own + typicalOthers
        val others = (latest.inFlight - latest.ownInFlight).coerceAtLeast(0)
        val reportWeight = exp(-(nowMs - latest.receivedAtMs).coerceAtLeast(0) / reportDecayMs)
        return own + reportWeight * others + (1 - reportWeight) * typicalOthers
    }

    private companion object {
        const val REPORT_DECAY_MS = 2_000.0
        const val MIN_RATIO = 0.05
        const val MAX_RATIO = 50.0
    }
}

/** Creates the tracking record of a configured backend server, initially cold. */
fun trackedBackend(spec: BackendSpec): TrackedBackend = TrackedBackend(spec.id, spec.domain, spec.fullLoad, spec.coldLoad)

/** A moving average of duration ratios that decays towards 1 while no ratios are recorded. */
private class Slowness(
    private val ratio: Double,
    private val atMs: Long,
    val observations: Long,
) {
    fun valueAt(nowMs: Long): Double {
        if (observations == 0L) return 1.0
        val remainder = exp(-(nowMs - atMs).coerceAtLeast(0) / DECAY_MS)
        return 1 + (ratio - 1) * remainder
    }

    fun updatedWith(
        observed: Double,
        nowMs: Long,
    ): Slowness {
        val weight = if (observations < AVERAGED_OBSERVATIONS) 1.0 / (observations + 1) else SMOOTHING_FACTOR
        return Slowness(valueAt(nowMs) + weight * (observed - valueAt(nowMs)), nowMs, observations + 1)
    }

    companion object {
        val UNKNOWN = Slowness(1.0, 0, 0)
        private const val DECAY_MS = 20_000.0
        private const val SMOOTHING_FACTOR = 0.1
        private const val AVERAGED_OBSERVATIONS = 8
    }
}
