package io.monsoonpath.app.standin

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.Server
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** A stand-in for the platform's configuration service: it can be read and watched, and counts each call. */
internal class StandInPlatform : AutoCloseable {
    private val waiting = mutableListOf<CompletableFuture<HttpResponse>>()
    private var current: Configuration? = null

    /** The number of calls so far; a waiting watch counts as one. */
    val calls = AtomicLong()

    private val server =
        Server
            .builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .requestTimeoutMillis(0)
            .service("/v1/values/configuration") { ctx, _ ->
                calls.incrementAndGet()
                val after = ctx.queryParam("after")?.toLongOrNull() ?: 0
                val waitMs = ctx.queryParam("waitMs")?.toLongOrNull() ?: 0
                watch(after, waitMs, ctx.eventLoop())
            }.build()

    /** The base address. */
    val url: String get() = "http://127.0.0.1:${server.activeLocalPort()}"

    /** Starts serving. */
    fun start(): StandInPlatform {
        server.start().join()
        return this
    }

    /** Publishes [configuration] to readers and waiting watches. */
    fun publish(configuration: Configuration) {
        val woken =
            synchronized(waiting) {
                current = configuration
                waiting.toList().also { waiting.clear() }
            }
        woken.forEach { it.complete(configuration.toResponse()) }
    }

    private fun watch(
        after: Long,
        waitMs: Long,
        timer: ScheduledExecutorService,
    ): HttpResponse {
        val future = CompletableFuture<HttpResponse>()
        synchronized(waiting) {
            val configuration = current
            if (configuration != null && configuration.revision.value > after) return configuration.toResponse()
            waiting += future
        }
        timer.schedule({ future.complete(HttpResponse.of(HttpStatus.NOT_MODIFIED)) }, waitMs, TimeUnit.MILLISECONDS)
        return HttpResponse.of(future)
    }

    private fun Configuration.toResponse() =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, DocumentJson.encodeToString(Configuration.serializer(), this))

    override fun close() {
        server.stop().join()
    }
}
