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
 * One running entry instance: its servers, its controllers and the state they publish.
 *
 * @param secrets what instances prove to each other
 * @param isReachable whether messages to and from an instance pass; tests cut links with it
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

    /** Completes when the first configuration is in force. */
    val ready = CompletableFuture<Unit>()

    /** The events of this process. */
    val events = EventLog(settings.instance, incarnation, clock)

    private val configurations =
        ConfigurationStore(events) { view ->
            state.onConfigurationAdopted(view)
            ready.complete(Unit)
        }

    /** The decisions that this instance takes together with its peers. */
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

    /** The id in the platform's instance list. */
    val id: InstanceId get() = settings.instance

    /** The configuration that requests are served by. */
    val revision: ConfigRevision get() = configurations.revision

    /** The port on which callers are served. */
    val callerPort: Int get() = callerServer.port

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
        state.beginShutdown()
        Thread.sleep(settings.timing.shutdownGraceMs)
        state.rejectRequests()
        callerServer.awaitIdle(settings.timing.shutdownDrainMs)
        coordinator.close()
        CompletableFuture.allOf(callerServer.stop(), operatorServer.stop()).join()
    }

    /** A started instance is ready once it has held its right and its share of the limits; what it loses later, it refuses truthfully. */
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
