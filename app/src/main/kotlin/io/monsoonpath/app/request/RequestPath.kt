package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.EventSink

/** Returns the whole way of a request: the filters in order, and the pipeline behind them. */
internal fun requestPath(
    clock: ClockMs,
    events: EventSink,
    metrics: RequestMetrics,
    ports: RequestPorts,
    sender: StageSender,
): Next {
    val attempts = AttemptRunner(clock, events, metrics, ports)
    val stages = StageRunner(clock, metrics, ports.retries, attempts)
    val filters =
        listOf(
            traceFilter(clock, events, metrics),
            authenticateFilter(),
            routeFilter(),
            gateFilter(ports.gate),
            rateFilter(ports.limiter),
            queueFilter(ports.queue, clock),
            claimFilter(ports.claims),
        )
    return chainOf(filters, PipelineRunner(clock, ports, metrics, stages, sender))
}
