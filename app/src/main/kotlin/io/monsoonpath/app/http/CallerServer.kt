package io.monsoonpath.app.http

import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServerBuilder
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.request.RequestComponents
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.requestChain
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.LimitSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.CompletableFuture

/**
 * The HTTP server for callers, including the filters that process each request.
 *
 * @param currentView returns the configuration in force, or null before the first one is adopted
 */
internal class CallerServer(
    endpoint: Endpoint,
    limits: LimitSettings,
    clock: ClockMs,
    events: EventSink,
    registry: MeterRegistry,
    state: ServiceState,
    currentView: () -> ConfigurationView?,
    components: RequestComponents,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = RequestMetrics(registry)
    private val runningRequests = RunningRequests()
    private val filters = requestChain(clock, events, metrics, components, BackendSender(metrics))
    private val service = CallerService(clock, scope, currentView, { state.isRejectingRequests }, events, metrics, filters)
    private val server =
        serverBuilder(endpoint)
            .service("prefix:/", runningRequests.counted(service))
            .withLimits(limits)
            .errorHandler(RefusalErrorHandler)
            .build()

    init {
        Gauge.builder("monsoonpath.requests.running", runningRequests) { it.count.toDouble() }.register(registry)
    }

    /** The port on which the server listens for callers. */
    val port: Int get() = server.activeLocalPort()

    /** The number of running requests, including streams. */
    val runningCount: Int get() = runningRequests.count

    /** Starts listening for callers. */
    fun start(): CompletableFuture<Void> = server.start()

    /** Waits at most [timeoutMs] milliseconds until no request is running; returns `true` if none is. */
    fun awaitIdle(timeoutMs: Long): Boolean = runningRequests.awaitIdle(timeoutMs)

    /** Closes all connections and cancels the requests that are still running. */
    fun stop(): CompletableFuture<Void> = server.stop().whenComplete { _, _ -> scope.cancel() }
}

/** Returns the builder of an HTTP server that listens on [endpoint]. */
internal fun serverBuilder(endpoint: Endpoint) = Server.builder().http(InetSocketAddress(endpoint.host, endpoint.port))

private fun ServerBuilder.withLimits(limits: LimitSettings) =
    maxRequestLength(limits.maxBodyBytes)
        .http1MaxHeaderSize(limits.maxHeaderBytes)
        .http2MaxHeaderListSize(limits.maxHeaderBytes.toLong())
        .maxNumConnections(limits.maxConnections)
        .idleTimeout(Duration.ofMillis(limits.callerIdleTimeoutMs))
        .requestTimeout(Duration.ofMillis(limits.callerIdleTimeoutMs))
