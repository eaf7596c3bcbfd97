package io.monsoonpath.app.http

import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.monsoonpath.app.config.ConfigurationStore
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.app.platform.PlatformReader
import io.monsoonpath.app.request.RequestPorts
import io.monsoonpath.app.request.localPorts
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.Settings
import io.monsoonpath.model.systemClockMs
import java.security.SecureRandom
import java.util.concurrent.CompletableFuture

/** One running entry instance: its servers, its controllers and the state they publish. */
internal class EntryInstance(
    private val settings: Settings,
) : AutoCloseable {
    private val clock = systemClockMs()
    private val incarnation = Incarnation(SecureRandom().nextLong())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val state = ServiceState(settings, clock)

    /** Completes when the instance can serve callers. */
    val ready = CompletableFuture<Unit>()

    /** The events of this process. */
    val events = EventLog(settings.instance, incarnation, clock)

    private val configurations =
        ConfigurationStore(events) { view ->
            state.adopted(view)
            ready.complete(Unit)
        }

    private val platform = PlatformReader(settings.platformUrl) { configurations.adopt(it, "platform") }
    private val ports: RequestPorts = localPorts(clock, settings.limits, state)
    private val callers =
        CallerServer(settings.caller, settings.limits, clock, events, registry, state, configurations::currentOrNull, ports)
    private val operatorServer = serverAt(settings.operator).operatorRoutes(state::isReady, events, registry, ::status).build()

    init {
        Gauge.builder("monsoonpath.events.dropped", events) { it.dropped.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.configuration.revision", configurations) { it.revision.value.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.documents.rejected", configurations) { it.rejections.count.toDouble() }.register(registry)
    }

    /** The port on which callers are served. */
    val callerPort: Int get() = callers.port

    /** The port on which operators are served. */
    val operatorPort: Int get() = operatorServer.activeLocalPort()

    /** Starts the servers and follows the platform's configuration. */
    fun start() {
        platform.start()
        CompletableFuture.allOf(operatorServer.start(), callers.start()).join()
    }

    /**
     * Stops without cutting a request: readiness turns false, requests are taken for the balancer's grace, and then the
     * running ones complete within their time.
     */
    override fun close() {
        state.stop()
        Thread.sleep(settings.timing.shutdownGraceMs)
        state.close()
        callers.awaitIdle(settings.timing.shutdownDrainMs)
        platform.close()
        CompletableFuture.allOf(callers.stop(), operatorServer.stop()).join()
    }

    private fun status() =
        InstanceStatus(
            instance = settings.instance,
            incarnation = incarnation.toString(),
            region = settings.region,
            failureDomain = settings.failureDomain,
            ready = state.isReady,
            stopping = state.isStopping,
            configuration = configurations.revision,
            rejectedDocuments = configurations.rejections.count,
            lastProblems = configurations.rejections.lastProblems,
            runningRequests = callers.runningCount,
            lastEvent = events.lastSeq,
            eventsDropped = events.dropped,
        )
}
