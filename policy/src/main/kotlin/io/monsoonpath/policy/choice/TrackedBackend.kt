package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.FailureDomain
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlin.math.exp

/**
 * What one instance knows of a backend server; all members may be used from several threads.
 *
 * @property id the backend server
 * @property domain its failure domain
 * @property fullLoad the requests it bears at once when warm
 * @property coldLoad the requests it bears at once in a cold start
 */
class TrackedBackend(
    val id: BackendId,
    val domain: FailureDomain,
    val fullLoad: Int,
    val coldLoad: Int,
) {
    private val inFlight = AtomicInteger()
    private val slowness = AtomicReference(Slowness.UNKNOWN)
    private val failureCount = AtomicInteger()
    private val ejectedUntilMs = AtomicLong(Long.MIN_VALUE)
    private val currentLimit = AtomicInteger(coldLoad)
    private val report = AtomicReference<LoadReport?>(null)

    /** This instance's requests that are running on the server. */
    val ownInFlight: Int get() = inFlight.get()

    /** The number of failures since the last success. */
    val consecutiveFailures: Int get() = failureCount.get()

    /** The number of timed answers that the slowness rests on. */
    val observations: Long get() = slowness.get().observations

    /** The latest report, or null before the first one. */
    val reportOrNull: LoadReport? get() = report.get()

    /** The load it may bear at once at present: below [fullLoad] during a ramp, when each send needs a permit. */
    val loadLimit: Int get() = currentLimit.get()

    /** Whether each send needs a permit. */
    val needsPermit: Boolean get() = currentLimit.get() < fullLoad

    /** Sets the load it may bear at once, from [coldLoad] to [fullLoad]. */
    fun updateLoadLimit(load: Int) = currentLimit.set(load.coerceIn(coldLoad, fullLoad))

    /** Notes that a request was sent; [recordEnd] or [recordAbandoned] must follow exactly once. */
    fun recordStart() {
        inFlight.incrementAndGet()
    }

    /** Notes that a request ended without saying anything of the server, such as a cancelled one. */
    fun recordAbandoned() {
        inFlight.decrementAndGet()
    }

    /**
     * Notes the end of a request.
     *
     * @param ratio the duration divided by the expected duration at the load it was sent under
     * @param ok whether the server answered
     */
    fun recordEnd(
        ratio: Double,
        ok: Boolean,
        nowMs: Long,
    ) {
        inFlight.decrementAndGet()
        if (ok) failureCount.set(0) else failureCount.incrementAndGet()
        if (ok) slowness.updateAndGet { it.updatedWith(ratio.coerceIn(MIN_RATIO, MAX_RATIO), nowMs) }
    }

    /** Notes a report of [inFlightOverall] requests. */
    fun recordReport(latest: LoadReport) = report.set(latest)

    /** Forgets what earlier processes at this address did; the load limit returns to [coldLoad]. */
    fun reset() {
        slowness.set(Slowness.UNKNOWN)
        failureCount.set(0)
        currentLimit.set(coldLoad)
        report.set(null)
    }

    /** Takes the server out of the choice until [untilMs]. */
    fun eject(untilMs: Long) = ejectedUntilMs.set(untilMs)

    /** Returns whether the server is out of the choice. */
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs.get()

    /** Returns how many times longer than expected the server takes; it recovers towards 1 while nothing is observed. */
    fun slowness(nowMs: Long): Double = slowness.get().valueAt(nowMs)

    /**
     * Returns the expected load over all instances.
     *
     * The part of other instances is the report's, and moves to the pool's mean as the report ages.
     *
     * @param meanUtilisation the pool's mean of load over full load
     */
    fun expectedLoad(
        nowMs: Long,
        meanUtilisation: Double,
    ): Double {
        val own = inFlight.get()
        val typicalOthers = (meanUtilisation * fullLoad - own).coerceAtLeast(0.0)
        val latest = report.get() ?: return own + typicalOthers
        val others = (latest.inFlight - latest.ownInFlight).coerceAtLeast(0)
        val reportWeight = exp(-(nowMs - latest.receivedAtMs).coerceAtLeast(0) / REPORT_DECAY_MS)
        return own + reportWeight * others + (1 - reportWeight) * typicalOthers
    }

    private companion object {
        const val REPORT_DECAY_MS = 2_000.0
        const val MIN_RATIO = 0.05
        const val MAX_RATIO = 50.0
    }
}

/** Returns the tracking record of a configured backend server, cold at first. */
fun trackedBackend(spec: BackendSpec): TrackedBackend = TrackedBackend(spec.id, spec.domain, spec.fullLoad, spec.coldLoad)

/** An average of duration ratios that moves back to 1 while nothing is observed. */
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
