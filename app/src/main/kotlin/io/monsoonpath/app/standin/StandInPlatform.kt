package io.monsoonpath.app.standin

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import io.monsoonpath.app.platform.MAX_VALUE_BYTES
import io.monsoonpath.app.platform.REVISION_HEADER
import io.monsoonpath.app.platform.splitIntoValues
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.InstanceList
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * An HTTP server that stands in for the platform's configuration service and instance list. Both can be read and watched, and
 * each call is counted.
 *
 * Tests can delay its responses, make it unavailable, let it serve outdated values and delay new instance lists.
 */
internal class StandInPlatform : AutoCloseable {
    private class Value(
        val revision: Long,
        val bytes: ByteArray,
    )

    private class Watch(
        val name: String,
        val after: Long,
        val response: CompletableFuture<HttpResponse>,
    )

    private val lock = Any()
    private val watches = mutableListOf<Watch>()
    private val values = HashMap<String, Value>()
    private var frozenValues: Map<String, Value>? = null

    /** The number of calls received so far. A watch counts as one call. */
    val calls = AtomicLong()

    /** Whether every call, including each waiting watch, is answered with status 503. */
    @Volatile
    var isDown = false
        set(value) {
            field = value
            if (value) failWatches()
        }

    /** The delay of each response in milliseconds. For a watch, it runs concurrently with the wait. */
    @Volatile
    var delayMs = 0L

    /** The delay in milliseconds between [publish] and serving a new instance list. */
    @Volatile
    var listLagMs = 0L

    private val server =
        Server
            .builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .requestTimeoutMillis(0)
            .gracefulShutdownTimeoutMillis(0, 0)
            .service("/v1/values/{name}") { ctx, _ -> serve(ctx, ctx.pathParam("name").orEmpty()) }
            .service("/v1/instances") { ctx, _ -> serve(ctx, INSTANCES) }
            .build()

    /** The base URL. */
    val url: String get() = "http://127.0.0.1:${server.activeLocalPort()}"

    /** Starts the server and returns this object. */
    fun start(): StandInPlatform {
        server.start().join()
        return this
    }

    /** Publishes [configuration] to readers and waiting watches, split into several values if it is longer than [maxValueBytes]. */
    fun publish(
        configuration: Configuration,
        maxValueBytes: Int = MAX_VALUE_BYTES,
    ) = publishText(
        configuration.revision.value,
        DocumentJson.encodeToString(Configuration.serializer(), configuration),
        maxValueBytes,
    )

    /** Publishes [text] as the configuration with [revision], without validating it. */
    fun publishText(
        revision: Long,
        text: String,
        maxValueBytes: Int = MAX_VALUE_BYTES,
    ) {
        val split = splitIntoValues(CONFIGURATION, revision, text, maxValueBytes)
        split.parts.forEach { (name, bytes) -> put(name, Value(revision, bytes)) }
        put(CONFIGURATION, Value(revision, split.main.toByteArray()))
    }

    /** Publishes [list], which is served after [listLagMs]. */
    fun publish(list: InstanceList) {
        val value = Value(list.revision.value, DocumentJson.encodeToString(InstanceList.serializer(), list).toByteArray())
        if (listLagMs == 0L) return put(INSTANCES, value)
        CompletableFuture.delayedExecutor(listLagMs, TimeUnit.MILLISECONDS).execute { put(INSTANCES, value) }
    }

    /** Serves the values published so far and ignores later ones until [unfreeze] is called. */
    fun freeze() = synchronized(lock) { frozenValues = values.toMap() }

    /** Ends [freeze]: serves the values published last. */
    fun unfreeze() {
        synchronized(lock) { frozenValues = null }
        completeWatches()
    }

    private fun put(
        name: String,
        value: Value,
    ) {
        synchronized(lock) { values[name] = value }
        completeWatches()
    }

    private fun failWatches() {
        val failed = synchronized(lock) { watches.toList().also { watches.clear() } }
        failed.forEach { it.response.complete(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)) }
    }

    private fun completeWatches() {
        val dueWatches =
            synchronized(lock) {
                watches.mapNotNull { watch -> newerOrNull(watch.name, watch.after)?.let { watch to it } }.also { due ->
                    watches.removeAll(due.map { it.first }.toSet())
                }
            }
        dueWatches.forEach { (watch, value) -> watch.response.complete(value.toResponse()) }
    }

    private fun serve(
        ctx: ServiceRequestContext,
        name: String,
    ): HttpResponse {
        calls.incrementAndGet()
        val after = ctx.queryParam("after")?.toLongOrNull() ?: 0
        val waitMs = ctx.queryParam("waitMs")?.toLongOrNull() ?: 0
        val response = if (isDown) HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) else watch(name, after, waitMs, ctx.eventLoop())
        return if (delayMs == 0L) response else HttpResponse.delayed(response, Duration.ofMillis(delayMs))
    }

    private fun watch(
        name: String,
        after: Long,
        waitMs: Long,
        timer: ScheduledExecutorService,
    ): HttpResponse {
        val watch = Watch(name, after, CompletableFuture())
        synchronized(lock) {
            newerOrNull(name, after)?.let { return it.toResponse() }
            if (waitMs <= 0) return unchangedResponse(name)
            watches += watch
        }
        timer.schedule({ expire(watch) }, waitMs, TimeUnit.MILLISECONDS)
        return HttpResponse.of(watch.response)
    }

    private fun expire(watch: Watch) {
        synchronized(lock) { watches -= watch }
        watch.response.complete(unchangedResponse(watch.name))
    }

    private fun servedOrNull(name: String): Value? = (frozenValues ?: values)[name]

    private fun newerOrNull(
        name: String,
        after: Long,
    ): Value? = servedOrNull(name)?.takeIf { it.revision > after }

    private fun unchangedResponse(name: String): HttpResponse {
        val revision = synchronized(lock) { servedOrNull(name)?.revision ?: 0 }
        val status = if (revision == 0L) HttpStatus.NOT_FOUND else HttpStatus.NOT_MODIFIED
        return HttpResponse.of(ResponseHeaders.builder(status).addLong(REVISION_HEADER, revision).build())
    }

    private fun Value.toResponse(): HttpResponse {
        val headers = ResponseHeaders.builder(HttpStatus.OK).contentType(MediaType.JSON).addLong(REVISION_HEADER, revision)
        return HttpResponse.of(headers.build(), HttpData.wrap(bytes))
    }

    override fun close() {
        synchronized(lock) { watches.toList() }.forEach { expire(it) }
        server.stop()
    }

    private companion object {
        const val CONFIGURATION = "configuration"
        const val INSTANCES = "instances"
    }
}
