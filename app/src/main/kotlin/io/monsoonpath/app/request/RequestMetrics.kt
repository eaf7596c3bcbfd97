package io.monsoonpath.app.request

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageId
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** The reason why an answer or a part of it was dropped. */
internal enum class Mismatch {
    /** The answer belongs to another request. */
    FOREIGN_REQUEST,

    /** The answer belongs to another stage of the request. */
    OTHER_STAGE,

    /** The answer belongs to another attempt, such as an earlier one. */
    LATE_ATTEMPT,

    /** The token has already been delivered. */
    REPEATED_TOKEN,

    /** At least one token is missing before the token. */
    SKIPPED_TOKEN,

    /** The answer does not identify its request, stage or attempt. */
    UNMARKED,
}

/** The metrics of request processing. All meters are looked up without locking. */
internal class RequestMetrics(
    private val registry: MeterRegistry,
) {
    private val answeredTimers = ConcurrentHashMap<String, Timer>()
    private val attemptTimers = ConcurrentHashMap<Pair<StageId, AttemptEnd>, Timer>()
    private val refusedCounters = RefusalReason.entries.map { counter("monsoonpath.requests.refused", "reason", it.name) }
    private val droppedCounters = Mismatch.entries.map { counter("monsoonpath.answers.dropped", "kind", it.name) }
    private val retriedCounter = Counter.builder("monsoonpath.attempts.retried").register(registry)
    private val resumedCounter = Counter.builder("monsoonpath.streams.resumed").register(registry)

    /** Records that a request on the route at [path] was answered completely after [tookMs] milliseconds. */
    fun recordAnswered(
        path: String,
        tookMs: Long,
    ) {
        val timer = answeredTimers[path] ?: answeredTimers.computeIfAbsent(path) { timer("monsoonpath.requests.answered", "path", it) }
        timer.record(tookMs, TimeUnit.MILLISECONDS)
    }

    /** Records a refused request. */
    fun recordRefused(reason: RefusalReason): Unit = refusedCounters[reason.ordinal].increment()

    /** Records the end of an attempt and its duration. */
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

    /** Records a dropped answer or token. */
    fun recordDropped(kind: Mismatch): Unit = droppedCounters[kind.ordinal].increment()

    /** Records a retry. */
    fun recordRetry(): Unit = retriedCounter.increment()

    /** Records that a stream is resumed on another engine. */
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
