package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.EventSink

/** Returns the handler that processes requests: the filters in order, followed by the pipeline. */
internal fun requestChain(
    clock: ClockMs,
    events: EventSink,
    metrics: RequestMetrics,
    components: RequestComponents,
    sender: StageSender,
): RequestHandler {
    val attempts = AttemptRunner(clock, events, metrics, components)
    val stages = StageRunner(clock, metrics, components.retryBudget, attempts)
    val filters =
        listOf(
            traceFilter(clock, events, metrics),
            authenticateFilter(),
            routeFilter(),
            gateFilter(components.gate),
            rateFilter(components.limiter),
            queueFilter(components.queue, clock),
            claimFilter(components.claims),
        )
    return chainOf(filters, PipelineRunner(clock, components, metrics, stages, sender))
}
