package io.monsoonpath.gateway.metrics

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.monsoonpath.gateway.http.ConnectionCounters
import io.monsoonpath.gateway.http.StrayBytes
import java.time.Duration
import java.util.concurrent.TimeUnit

/** The counters, gauges and latency histograms of this process. */
class GatewayMetrics : ConnectionCounters {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val connections = registry.counter("monsoonpath_backend_connections")
    private val counters = HashMap<List<String>, Counter>()
    private val timers = HashMap<String, Timer>()

    override fun opened() = connections.increment()

    override fun received(stray: StrayBytes) = count("monsoonpath_backend_stray_bytes", "kind", stray.label)

    /** Records a request on [route] that ended with [outcome], [durationMs] after its arrival. */
    fun requestEnded(
        route: String,
        outcome: String,
        durationMs: Long,
    ) {
        count("monsoonpath_requests", "route", route, "outcome", outcome)
        timers.getOrPut(route) { timer("monsoonpath_request_seconds", "route", route) }.record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Records an attempt at a backend server of [pool] with the outcome [end]. */
    fun attemptEnded(
        pool: String,
        end: String,
    ) = count("monsoonpath_attempts", "pool", pool, "end", end)

    /** Records a piece of the stage pool [pool] that this instance could not have executed, for [reason]. */
    fun pieceFailed(
        pool: String,
        reason: String,
    ) = count("monsoonpath_pieces_failed", "pool", pool, "reason", reason)

    /** Records a notice of a backend server of the given [kind], or a request that was withheld because of one. */
    fun backendNotice(kind: String) = count("monsoonpath_backend_notices", "kind", kind)

    /** Records a load report that was ignored, or of which the part that [kind] names was ignored. */
    fun loadReportIgnored(kind: String) = count("monsoonpath_load_reports_ignored", "kind", kind)

    /** Records the decision [outcome] on a request that needed a place in [pool]. */
    fun placeDecided(
        pool: String,
        outcome: String,
    ) = count("monsoonpath_place_decisions", "pool", pool, "outcome", outcome)

    /** Records the decision [outcome] on a copy of a run in the engine pool [pool], or the end of a run that continued from its copy. */
    fun copyDecided(
        pool: String,
        outcome: String,
    ) = count("monsoonpath_run_copies", "pool", pool, "outcome", outcome)

    /** Adds one to the counter [name] with the tags [tags], which are keys and values in turn. */
    private fun count(
        name: String,
        vararg tags: String,
    ) = counters.getOrPut(listOf(name, *tags)) { registry.counter(name, *tags) }.increment()

    /** Registers a gauge called [name] that returns [value] at each scrape. */
    fun gauge(
        name: String,
        value: () -> Number,
    ) {
        Gauge.builder(name) { value() }.strongReference(true).register(registry)
    }

    /** Returns all metrics in the text format of Prometheus. */
    fun scrape(): String = registry.scrape()

    private fun timer(
        name: String,
        tag: String,
        value: String,
    ): Timer =
        Timer
            .builder(name)
            .tag(tag, value)
            .publishPercentileHistogram()
            .minimumExpectedValue(MIN_LATENCY)
            .maximumExpectedValue(MAX_LATENCY)
            .register(registry)

    private companion object {
        val MIN_LATENCY: Duration = Duration.ofMillis(5)

        /** The longest deadline that callers use. */
        val MAX_LATENCY: Duration = Duration.ofSeconds(20)
    }
}
