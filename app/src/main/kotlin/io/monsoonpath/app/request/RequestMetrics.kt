package io.monsoonpath.app.request

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageId
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** An answer, or a part of one, that was dropped because it is not the one asked for. */
internal enum class Mismatch {
    /** It belongs to another request. */
    FOREIGN_REQUEST,

    /** It belongs to another stage of the request. */
    OTHER_STAGE,

    /** It belongs to an earlier attempt. */
    LATE_ATTEMPT,

    /** It repeats a token that was delivered before. */
    REPEATED_TOKEN,

    /** It skips a token. */
    SKIPPED_TOKEN,

    /** It names no request, stage or attempt. */
    UNMARKED,
}

/** The meters of the request path; all are found without a lock. */
internal class RequestMetrics(
    private val registry: MeterRegistry,
) {
    private val answeredTimers = ConcurrentHashMap<String, Timer>()
    private val attemptTimers = ConcurrentHashMap<Pair<StageId, AttemptEnd>, Timer>()
    private val refusedCounters = RefusalReason.entries.map { counter("monsoonpath.requests.refused", "reason", it.name) }
    private val droppedCounters = Mismatch.entries.map { counter("monsoonpath.answers.dropped", "kind", it.name) }
    private val retriedCounter = Counter.builder("monsoonpath.attempts.retried").register(registry)
    private val resumedCounter = Counter.builder("monsoonpath.streams.resumed").register(registry)

    /** Notes a whole answer on the route at [path]. */
    fun recordAnswered(
        path: String,
        tookMs: Long,
    ) {
        val timer = answeredTimers[path] ?: answeredTimers.computeIfAbsent(path) { timer("monsoonpath.requests.answered", "path", it) }
        timer.record(tookMs, TimeUnit.MILLISECONDS)
    }

    /** Notes a refusal. */
    fun recordRefused(reason: RefusalReason): Unit = refusedCounters[reason.ordinal].increment()

    /** Notes the end of an attempt. */
    fun recordAttempt(
        stage: StageId,
        end: AttemptEnd,
        tookMs: Long,
    ) {
        val key = stage to end
        val timer =
            attemptTimers[key]
                ?: attemptTimers.computeIfAbsent(key) { timer("monsoonpath.attempts", "stage", stage.value, "end", end.name) }
        timer.record(Duration.ofMillis(tookMs))
    }

    /** Notes a dropped answer. */
    fun recordDropped(kind: Mismatch): Unit = droppedCounters[kind.ordinal].increment()

    /** Notes a retry. */
    fun recordRetry(): Unit = retriedCounter.increment()

    /** Notes a stream that went on at another engine. */
    fun recordResume(): Unit = resumedCounter.increment()

    private fun counter(
        name: String,
        vararg tags: String,
    ) = Counter.builder(name).tags(*tags).register(registry)

    private fun timer(
        name: String,
        vararg tags: String,
    ) = Timer
        .builder(name)
        .tags(*tags)
        .publishPercentiles(MEDIAN, HIGH_PERCENTILE)
        .register(registry)

    private companion object {
        const val MEDIAN = 0.5
        const val HIGH_PERCENTILE = 0.99
    }
}
