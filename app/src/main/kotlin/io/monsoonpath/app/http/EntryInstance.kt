package io.monsoonpath.app.http

import com.linecorp.armeria.server.Server
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.monsoonpath.app.config.ConfigurationStore
import io.monsoonpath.app.control.Coordinator
import io.monsoonpath.app.control.currencyGate
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.app.peer.PeerSecrets
import io.monsoonpath.app.peer.readPeerSecrets
import io.monsoonpath.app.policy.policyPorts
import io.monsoonpath.app.request.Next
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.RequestPorts
import io.monsoonpath.app.request.requestPath
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Settings
import io.monsoonpath.model.systemClockMs
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.io.File
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.time.Duration
import java.util.concurrent.CompletableFuture

/**
 * One running entry instance: its servers, its controllers and the state they publish.
 *
 * @param secrets what instances prove to each other
 * @param reaches whether messages to and from an instance pass; tests cut links with it
 */
internal class EntryInstance(
    private val settings: Settings,
    secrets: PeerSecrets = readPeerSecrets(File(settings.peerSecretFile)),
    reaches: (InstanceId) -> Boolean = { true },
) : AutoCloseable {
    private val clock = systemClockMs()
    private val incarnation = Incarnation(SecureRandom().nextLong())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val metrics = RequestMetrics(registry)
    private val state = ServiceState(settings, clock)
    private val running = RunningRequests()

    /** Completes when the instance can serve callers. */
    val ready = CompletableFuture<Unit>()

    /** The events of this process. */
    val events = EventLog(settings.instance, incarnation, clock)

    private val configurations =
        ConfigurationStore(events) { view ->
            state.adopted(view)
            ready.complete(Unit)
        }

    /** The decisions that this instance takes together with its peers. */
    val coordinator = Coordinator(PeerId(settings.instance, incarnation), settings, secrets, clock, events, configurations, reaches)
    private val ports: RequestPorts = policyPorts(clock, settings, currencyGate(state, coordinator, clock))
    private val callerServer = callerServer(requestPath(clock, events, metrics, ports, BackendSender(metrics)))
    private val operatorServer = serverAt(settings.operator).operatorRoutes(state::isReady, events, registry, ::status).build()

    init {
        Gauge.builder("monsoonpath.requests.running", running) { it.count.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.events.dropped", events) { it.dropped.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.configuration.revision", configurations) { it.revision.value.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.documents.rejected", configurations) { it.rejections.count.toDouble() }.register(registry)
    }

    /** The id in the platform's instance list. */
    val id: InstanceId get() = settings.instance

    /** The port on which callers are served. */
    val callerPort: Int get() = callerServer.activeLocalPort()

    /** The port on which operators are served. */
    val operatorPort: Int get() = operatorServer.activeLocalPort()

    /** Starts the servers and joins the other instances. */
    fun start() {
        coordinator.start()
        CompletableFuture.allOf(operatorServer.start(), callerServer.start()).join()
    }

    /**
     * Stops without cutting a request: readiness turns false, requests are taken for the balancer's grace, and then the
     * running ones complete within their time.
     */
    override fun close() {
        state.stop()
        Thread.sleep(settings.timing.shutdownGraceMs)
        state.close()
        running.awaitNone(settings.timing.shutdownDrainMs)
        coordinator.close()
        CompletableFuture.allOf(callerServer.stop(), operatorServer.stop()).join()
        scope.cancel()
    }

    private fun callerServer(filters: Next): Server {
        val service =
            CallerService(clock, scope, configurations::currentOrNull, { state.isClosed }, events, metrics, filters)
        val limits = settings.limits
        return serverAt(settings.caller)
            .service("prefix:/", service.decorate { running.counting(it) })
            .maxRequestLength(limits.maxBodyBytes)
            .http1MaxHeaderSize(limits.maxHeaderBytes)
            .http2MaxHeaderListSize(limits.maxHeaderBytes.toLong())
            .maxNumConnections(limits.maxConnections)
            .idleTimeout(Duration.ofMillis(limits.callerIdleTimeoutMs))
            .requestTimeout(Duration.ofMillis(limits.callerIdleTimeoutMs))
            .errorHandler(RefusalErrorHandler)
            .build()
    }

    private fun serverAt(endpoint: Endpoint) = Server.builder().http(InetSocketAddress(endpoint.host, endpoint.port))

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
            runningRequests = running.count,
            lastEvent = events.lastSeq,
            eventsDropped = events.dropped,
        )
}
