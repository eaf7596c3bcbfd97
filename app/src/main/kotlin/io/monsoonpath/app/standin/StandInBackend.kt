package io.monsoonpath.app.standin

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.Server
import io.monsoonpath.app.http.ATTEMPT_HEADER
import io.monsoonpath.app.http.INCARNATION_HEADER
import io.monsoonpath.app.http.REQUEST_ID_HEADER
import io.monsoonpath.app.http.STAGE_HEADER
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * A stand-in for a backend server of any kind: it wraps what it was sent and counts each run.
 *
 * @param tookMs how long a call takes
 */
internal class StandInBackend(
    private val name: String,
    private val tookMs: Long,
) : AutoCloseable {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val server =
        Server
            .builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .service("prefix:/") { _, request ->
                HttpResponse.of(request.aggregate().thenApply { HttpResponse.delayed(answer(it), Duration.ofMillis(tookMs)) })
            }.build()

    /** The base address. */
    val url: String get() = "http://127.0.0.1:${server.activeLocalPort()}"

    /** Starts serving. */
    fun start(): StandInBackend {
        server.start().join()
        return this
    }

    /** Returns how often a stage of [requestId] has run here. */
    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    private fun answer(request: AggregatedHttpRequest): HttpResponse {
        val headers = request.headers()
        val id = headers.get(REQUEST_ID_HEADER).orEmpty()
        runs.computeIfAbsent(id) { AtomicInteger() }.incrementAndGet()
        val answerHeaders =
            ResponseHeaders
                .builder(HttpStatus.OK)
                .contentType(MediaType.JSON)
                .add(REQUEST_ID_HEADER, id)
                .add(STAGE_HEADER, headers.get(STAGE_HEADER).orEmpty())
                .add(ATTEMPT_HEADER, headers.get(ATTEMPT_HEADER).orEmpty())
                .add(INCARNATION_HEADER, "1")
                .build()
        return HttpResponse.of(answerHeaders, HttpData.ofUtf8("""{"by":"$name","of":${request.contentUtf8()}}"""))
    }

    override fun close() {
        server.stop().join()
    }
}
