package io.monsoonpath.app.http

import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.monsoonpath.app.config.ConfigurationStore
import io.monsoonpath.app.control.Coordinator
import io.monsoonpath.app.control.configurationFreshnessGate
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.app.peer.PeerSecrets
import io.monsoonpath.app.peer.readPeerSecrets
import io.monsoonpath.app.policy.policyComponents
import io.monsoonpath.app.request.RequestComponents
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Settings
import io.monsoonpath.model.systemClockMs
import java.io.File
import java.security.SecureRandom
import java.util.concurrent.CompletableFuture

/**
 * A running entry instance: its servers, its controllers and the state that they publish.
 *
 * @param secrets the secrets by which instances authenticate each other
 * @param isReachable returns whether messages to and from an instance get through; tests simulate network partitions with it
 */
internal class EntryInstance(
    private val settings: Settings,
    secrets: PeerSecrets = readPeerSecrets(File(settings.peerSecretFile)),
    isReachable: (InstanceId) -> Boolean = { true },
) : AutoCloseable {
    private val clock = systemClockMs()
    private val incarnation = Incarnation(SecureRandom().nextLong())
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val state = ServiceState(settings, clock)

    @Volatile
    private var hasBeenServing = false

    /** Completes when the first configuration comes into force. */
    val ready = CompletableFuture<Unit>()

    /** The event log of this process. */
    val events = EventLog(settings.instance, incarnation, clock)

    private val configurations =
        ConfigurationStore(events) { view ->
            state.onConfigurationAdopted(view)
            ready.complete(Unit)
        }

    /** Makes the decisions that this instance takes together with its peers. */
    val coordinator = Coordinator(PeerId(settings.instance, incarnation), settings, secrets, clock, events, configurations, isReachable)
    private val components: RequestComponents =
        policyComponents(
            clock,
            settings,
            configurationFreshnessGate(state, coordinator, clock),
            coordinator.limiter,
            coordinator.claimSource,
        )
    private val callerServer =
        CallerServer(settings.caller, settings.limits, clock, events, registry, state, configurations::currentOrNull, components)
    private val operatorServer = serverBuilder(settings.operator).operatorRoutes(::isReady, events, registry, ::status).build()

    init {
        Gauge.builder("monsoonpath.events.dropped", events) { it.dropped.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.configuration.revision", configurations) { it.revision.value.toDouble() }.register(registry)
        Gauge.builder("monsoonpath.documents.rejected", configurations) { it.rejections.count.toDouble() }.register(registry)
    }

    /** The id of this instance in the platform's instance list. */
    val id: InstanceId get() = settings.instance

    /** The revision of the configuration that requests are served by. */
    val revision: ConfigRevision get() = configurations.revision

    /** The port of the server for callers. */
    val callerPort: Int get() = callerServer.port

    /** The port of the server for operators. */
    val operatorPort: Int get() = operatorServer.activeLocalPort()

    /** Starts the coordination with the other instances, and then the servers. */
    fun start() {
        coordinator.start()
        CompletableFuture.allOf(operatorServer.start(), callerServer.start()).join()
    }

    /**
     * Shuts down gracefully, without interrupting requests.
     *
     * Readiness turns false at once. New requests are accepted for the grace period that the load balancer needs to notice it
     * (`shutdownGraceMs`), and are rejected after that. Requests that are still running then have up to `shutdownDrainMs` to
     * complete.
     */
    override fun close() {
        state.beginShutdown()
        Thread.sleep(settings.timing.shutdownGraceMs)
        state.rejectRequests()
        callerServer.awaitIdle(settings.timing.shutdownDrainMs)
        coordinator.close()
        CompletableFuture.allOf(callerServer.stop(), operatorServer.stop()).join()
    }

    /**
     * Returns whether the load balancer should send requests here.
     *
     * A started instance becomes ready once it has held its right to serve and its share of the limits. Losing them later does
     * not end readiness: the affected requests are refused with the actual reason.
     */
    private fun isReady(): Boolean {
        if (coordinator.isServing()) hasBeenServing = true
        return hasBeenServing && state.isReady
    }

    private fun status() =
        InstanceStatus(
            instance = settings.instance,
            incarnation = incarnation.toString(),
            region = settings.region,
            failureDomain = settings.failureDomain,
            ready = isReady(),
            stopping = state.isStopping,
            configuration = revision,
            rejectedDocuments = configurations.rejections.count,
            lastProblems = configurations.rejections.lastProblems,
            runningRequests = callerServer.runningCount,
            lastEvent = events.lastSeq,
            eventsDropped = events.dropped,
        )
}
