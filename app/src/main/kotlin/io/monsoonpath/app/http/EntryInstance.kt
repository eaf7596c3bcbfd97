package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.server.Server
import io.monsoonpath.app.config.ConfigurationView
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.app.platform.PlatformReader
import io.monsoonpath.app.request.LeastInFlightChooser
import io.monsoonpath.app.request.LocalFairQueue
import io.monsoonpath.app.request.LocalPermitSource
import io.monsoonpath.app.request.LocalRateLimiter
import io.monsoonpath.app.request.Next
import io.monsoonpath.app.request.PipelineRunner
import io.monsoonpath.app.request.authenticateFilter
import io.monsoonpath.app.request.chainOf
import io.monsoonpath.app.request.queueFilter
import io.monsoonpath.app.request.rateFilter
import io.monsoonpath.app.request.routeFilter
import io.monsoonpath.app.request.traceFilter
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.Event
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.Settings
import io.monsoonpath.model.systemClockMs
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.net.InetSocketAddress
import java.security.SecureRandom
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicReference

/** One running entry instance: its servers, its controllers and the state they publish. */
internal class EntryInstance(
    private val settings: Settings,
) : AutoCloseable {
    private val clock = systemClockMs()
    private val incarnation = Incarnation(SecureRandom().nextLong())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val view = AtomicReference<ConfigurationView?>()

    /** Completes when the instance can serve callers. */
    val ready = CompletableFuture<Unit>()

    /** The events of this process. */
    val events = EventLog(settings.instance, incarnation, clock)

    private val platform =
        PlatformReader(settings.platformUrl) { configuration ->
            view.set(ConfigurationView(configuration))
            ready.complete(Unit)
            events.emit(Event.ConfigurationAdopted(configuration.revision, "platform"))
        }

    private val callerServer = serverAt(settings.caller).service("prefix:/", CallerService(clock, scope, view::get, filters())).build()
    private val operatorServer =
        serverAt(settings.operator)
            .service("/healthz") { _, _ -> HttpResponse.of(HttpStatus.OK) }
            .service("/readyz") { _, _ -> HttpResponse.of(if (view.get() == null) HttpStatus.SERVICE_UNAVAILABLE else HttpStatus.OK) }
            .build()

    /** The port on which callers are served. */
    val callerPort: Int get() = callerServer.activeLocalPort()

    /** Starts the servers and follows the platform's configuration. */
    fun start() {
        platform.start()
        operatorServer.start().join()
        callerServer.start().join()
    }

    override fun close() {
        platform.close()
        callerServer.stop().join()
        operatorServer.stop().join()
        scope.cancel()
    }

    private fun filters(): Next {
        val runner = PipelineRunner(clock, events, LeastInFlightChooser(), LocalPermitSource(), BackendSender())
        val filters =
            listOf(
                traceFilter(clock, events),
                routeFilter(),
                authenticateFilter(),
                rateFilter(LocalRateLimiter(clock)),
                queueFilter(LocalFairQueue(settings.limits.maxRunning), clock),
            )
        return chainOf(filters, runner)
    }

    private fun serverAt(endpoint: Endpoint) = Server.builder().http(InetSocketAddress(endpoint.host, endpoint.port))
}
