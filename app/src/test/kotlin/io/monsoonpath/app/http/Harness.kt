package io.monsoonpath.app.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.RequestHeadersBuilder
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.monsoonpath.app.config.ConfigurationStore
import io.monsoonpath.app.event.EventLog
import io.monsoonpath.app.request.Mismatch
import io.monsoonpath.app.request.hashKey
import io.monsoonpath.app.request.localComponents
import io.monsoonpath.app.standin.StandInBackend
import io.monsoonpath.app.standin.demoSettings
import io.monsoonpath.model.Access
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.LimitSettings
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.PoolSpec
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.Region
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import io.monsoonpath.model.systemClockMs
import java.net.InetAddress
import java.net.ServerSocket
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import kotlin.test.assertTrue

/** The API key of the workspace that the tests use. */
internal const val TEST_KEY = "k1.correct-horse-battery"

/**
 * Runs a [CallerServer] with stand-in backend servers on the loopback address.
 *
 * The pipeline has one stage for each of [kinds], with two backend servers per stage. The route and the stages of the kind
 * [StageKind.SERVICE] are idempotent only if [idempotent] is `true`.
 */
internal class Harness(
    private val kinds: List<StageKind> = listOf(StageKind.ENCODE),
    private val idempotent: Boolean = true,
    private val deadlineMs: Long = 5_000,
    private val workspace: WorkspaceSpec = WorkspaceSpec(WorkspaceId("w1"), rateMilliPerS = 10_000_000, burst = 10_000),
    limits: LimitSettings = LimitSettings(),
) : AutoCloseable {
    private val clock = systemClockMs()
    private val settings = demoSettings(1, "http://127.0.0.1:1").copy(limits = limits, failureDomain = FailureDomain("fd0"))
    private var revision = 0L
    val registry = SimpleMeterRegistry()
    val events = EventLog(settings.instance, Incarnation(1), clock)
    val state = ServiceState(settings, clock)
    val configurations = ConfigurationStore(events) { state.onConfigurationAdopted(it) }
    val backends: List<List<StandInBackend>> =
        kinds.map { kind -> (1..2).map { StandInBackend("${kind.name.lowercase()}-$it").start() } }
    val server =
        CallerServer(
            settings.caller,
            settings.limits,
            clock,
            events,
            registry,
            state,
            configurations::currentOrNull,
            localComponents(clock, limits, state),
        )
    private val factory = ClientFactory.builder().build()
    val client: WebClient

    init {
        publish { it }
        server.start().join()
        client =
            WebClient
                .builder("http://127.0.0.1:${server.port}")
                .factory(factory)
                .responseTimeoutMillis(20_000)
                .build()
    }

    /** Publishes the base configuration after applying [change] to it. */
    fun publish(change: (Configuration) -> Configuration) {
        configurations.adopt(change(baseConfiguration().copy(revision = ConfigRevision(++revision))), "test")
    }

    /** Changes the addresses of the first [count] backend servers of [stage] to ports on which nothing listens. */
    fun disconnect(
        stage: Int,
        count: Int,
    ) {
        val unreachable = (1..count).map { "s$stage-$it" }
        publish { base -> base.copy(backends = base.backends.map { if (it.id.value in unreachable) it.copy(url = unusedUrl()) else it }) }
    }

    private fun unusedUrl() = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "http://127.0.0.1:${it.localPort}" }

    fun send(
        id: String,
        path: String = "/v1/run",
        body: String = """{"id":"$id"}""",
        headers: (RequestHeadersBuilder) -> Unit = {},
    ): HttpResponse {
        val builder = RequestHeaders.builder(HttpMethod.POST, path).add(REQUEST_ID_HEADER, id)
        builder.add(HttpHeaderNames.AUTHORIZATION, "Bearer $TEST_KEY")
        headers(builder)
        return client.execute(builder.build(), body)
    }

    fun call(
        id: String,
        path: String = "/v1/run",
        headers: (RequestHeadersBuilder) -> Unit = {},
    ): AggregatedHttpResponse = send(id, path, headers = headers).aggregate().join()

    /** Returns the expected answer to the request [id] if its stages run on the backend servers with [ordinals] (from 1). */
    fun expectedAnswer(
        id: String,
        ordinals: List<Int> = kinds.map { 1 },
    ): String = kinds.zip(ordinals).fold("""{"id":"$id"}""") { body, (kind, n) -> """{"by":"${kind.name.lowercase()}-$n","of":$body}""" }

    fun droppedAnswers(kind: Mismatch): Int =
        registry
            .get("monsoonpath.answers.dropped")
            .tag("kind", kind.name)
            .counter()
            .count()
            .toInt()

    fun callsReceived(
        id: String,
        stage: Int,
    ): Int = backends[stage].sumOf { backend -> backend.received.count { it.requestId == id } }

    /** Checks that [refusal] reports [ExecutionStatus.NOT_RUN] only if no backend server received a call of the request [id]. */
    fun assertRanIsAccurate(
        id: String,
        refusal: Refusal,
    ) {
        val received = kinds.indices.sumOf { callsReceived(id, it) }
        assertTrue(refusal.ran != ExecutionStatus.NOT_RUN || received == 0, "refused as not-run after $received received calls: $refusal")
    }

    override fun close() {
        val stops = backends.flatten().map { it.stop() } + server.stop()
        CompletableFuture.allOf(*stops.toTypedArray()).thenRun { factory.close() }
    }

    private fun baseConfiguration(): Configuration {
        val stages =
            kinds.mapIndexed { i, kind ->
                StageSpec(
                    StageId("s$i"),
                    kind,
                    PoolId("p$i"),
                    "/s$i",
                    idempotent || kind != StageKind.SERVICE,
                )
            }
        val servers = backends.flatMapIndexed { i, pool -> pool.mapIndexed { j, backend -> backendSpec(i, j, backend.url) } }
        return Configuration(
            revision = ConfigRevision(1),
            domains = listOf(DomainSpec(FailureDomain("fd1"), Region("r1")), DomainSpec(FailureDomain("fd2"), Region("r1"))),
            pools = kinds.mapIndexed { i, kind -> PoolSpec(PoolId("p$i"), kind) },
            backends = servers,
            pipelines = listOf(PipelineSpec(PipelineId("run"), deadlineMs, stages)),
            routes =
                listOf(
                    RouteSpec("/v1/run", PipelineId("run"), idempotent = idempotent),
                    RouteSpec("/v1/open", PipelineId("run"), Access.OPEN, idempotent),
                ),
            workspaces = listOf(workspace),
            keys = listOf(testKey()),
        )
    }

    private fun backendSpec(
        stage: Int,
        ordinal: Int,
        url: String,
    ) = BackendSpec(BackendId("s$stage-${ordinal + 1}"), url, PoolId("p$stage"), FailureDomain("fd${ordinal + 1}"), 100, 10_000)

    private fun testKey(): KeySpec {
        val salt = ByteArray(16) { 7 }
        val hex = HexFormat.of()
        return KeySpec(KeyId("k1"), workspace.id, hex.formatHex(salt), hex.formatHex(hashKey(TEST_KEY, salt)))
    }
}

/** Returns the refusal in the body of this response. */
internal fun AggregatedHttpResponse.refusal(): Refusal = DocumentJson.decodeFromString(Refusal.serializer(), contentUtf8())

/** Waits until [condition] is `true`; fails with [message] after ten seconds. */
internal fun eventually(
    message: String,
    condition: () -> Boolean,
) {
    val deadlineNs = System.nanoTime() + 10_000_000_000
    while (!condition()) {
        assertTrue(System.nanoTime() < deadlineNs, message)
        Thread.onSpinWait()
    }
}
