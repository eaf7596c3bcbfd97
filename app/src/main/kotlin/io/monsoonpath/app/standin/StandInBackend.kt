package io.monsoonpath.app.standin

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.common.stream.StreamMessage
import com.linecorp.armeria.server.Server
import com.linecorp.armeria.server.ServiceRequestContext
import io.monsoonpath.app.http.ATTEMPT_HEADER
import io.monsoonpath.app.http.DEADLINE_HEADER
import io.monsoonpath.app.http.EventLoopDispatcher
import io.monsoonpath.app.http.INCARNATION_HEADER
import io.monsoonpath.app.http.REQUEST_ID_HEADER
import io.monsoonpath.app.http.RESUME_HEADER
import io.monsoonpath.app.http.STAGE_HEADER
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.reactive.asPublisher
import java.io.IOException
import java.net.InetSocketAddress
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * An HTTP server that stands in for a backend server of any kind. Its answer contains the request body. It records each
 * call completely and counts how often each request was run.
 *
 * @param delayMs the time that a call takes in milliseconds unless [behavior] is set
 * @param coldLoad the maximum number of concurrent calls during a cold start, above which the server becomes overloaded, or
 * null for no limit
 * @param warmAfter the number of answers after which the server is warm
 */
internal class StandInBackend(
    private val name: String,
    delayMs: Long = 0,
    private val coldLoad: Int? = null,
    private val warmAfter: Int = 0,
) : AutoCloseable {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val running = AtomicInteger()
    private val answerCount = AtomicInteger()
    private val calls = ConcurrentLinkedQueue<StandInCall>()
    private val lastOrdinal = AtomicInteger()
    private val incarnation = AtomicLong(1)
    private val server =
        Server
            .builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .requestTimeoutMillis(0)
            .service("/load") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, loadReport()) }
            .service("prefix:/") { ctx, request -> HttpResponse.of(request.aggregate().thenApply { handle(ctx, it) }) }
            .build()

    /** Selects what the server does with each call. */
    @Volatile
    var behavior: (StandInCall) -> StandInBehavior = { StandInBehavior.Answer(delayMs) }

    /**
     * Whether the server received more than [coldLoad] concurrent calls during a cold start. It then answers every call with
     * status 503 until [restart].
     */
    @Volatile
    var isOverloaded = false
        private set

    /** Whether calls and runs are recorded. A long measurement disables this because every recorded call stays in memory. */
    @Volatile
    var recordsCalls = true

    /** The base URL. */
    val url: String get() = "http://127.0.0.1:${server.activeLocalPort()}"

    /** The calls received so far, in the order of their receipt. */
    val received: List<StandInCall> get() = calls.toList()

    /** The maximum number of calls that were running concurrently. */
    val peakRunning = AtomicInteger()

    /** The number of calls whose response failed, for example because the client cancelled the call. */
    val cancelled = AtomicInteger()

    /** Starts the server and returns this object. */
    fun start(): StandInBackend {
        server.start().join()
        return this
    }

    /** Simulates a restart: the server becomes a new incarnation, which is cold. */
    fun restart() {
        incarnation.incrementAndGet()
        answerCount.set(0)
        isOverloaded = false
    }

    /** Returns how often this server has run a stage of the request [requestId]. */
    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    /** Returns how often this server has run a stage of any request. */
    fun totalRuns(): Int = runs.values.sumOf { it.get() }

    /** Stops the server and closes its connections. Returns a future that completes when the server has stopped. */
    fun stop(): CompletableFuture<Void> = server.stop()

    override fun close() {
        stop().join()
    }

    private val isCold: Boolean get() = answerCount.get() < warmAfter

    private fun loadReport() = """{"incarnation":"$incarnation","running":${running.get()},"cold":$isCold}"""

    private fun handle(
        ctx: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val call = request.toCall(lastOrdinal.incrementAndGet())
        if (recordsCalls) calls += call
        val count = running.incrementAndGet()
        peakRunning.accumulateAndGet(count, ::maxOf)
        ctx.log().whenComplete().thenAccept { log ->
            running.decrementAndGet()
            if (log.responseCause() != null) cancelled.incrementAndGet()
        }
        if (coldLoad != null && isCold && count > coldLoad) isOverloaded = true
        return if (isOverloaded) HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) else respond(ctx, behavior(call), call, request)
    }

    private fun respond(
        ctx: ServiceRequestContext,
        behavior: StandInBehavior,
        call: StandInCall,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        if (behavior !is StandInBehavior.Status && behavior !is StandInBehavior.FailBeforeRun) countRun(call)
        return when (behavior) {
            is StandInBehavior.Answer -> answer(call, request, behavior.delayMs)
            is StandInBehavior.Status -> HttpResponse.of(HttpStatus.valueOf(behavior.status))
            StandInBehavior.FailBeforeRun, StandInBehavior.FailAfterRun -> HttpResponse.ofFailure(IOException("died"))
            StandInBehavior.FailDuringAnswer ->
                HttpResponse.of(
                    answerHeaders(call),
                    StreamMessage.concat(answerPrefix(request), StreamMessage.aborted(IOException("died"))),
                )
            StandInBehavior.Hang -> HttpResponse.streaming()
            is StandInBehavior.OverrideHeader -> HttpResponse.of(overriddenHeaders(call, behavior), HttpData.ofUtf8(answerBody(request)))
            is StandInBehavior.Tokens -> HttpResponse.of(answerHeaders(call, MediaType.EVENT_STREAM), tokenStream(ctx, call, behavior))
        }
    }

    private fun countRun(call: StandInCall) {
        if (recordsCalls) runs.computeIfAbsent(call.requestId) { AtomicInteger() }.incrementAndGet()
    }

    private fun answer(
        call: StandInCall,
        request: AggregatedHttpRequest,
        delayMs: Long,
    ): HttpResponse {
        answerCount.incrementAndGet()
        val response = HttpResponse.of(answerHeaders(call), HttpData.ofUtf8(answerBody(request)))
        return if (delayMs == 0L) response else HttpResponse.delayed(response, Duration.ofMillis(delayMs))
    }

    private fun answerBody(request: AggregatedHttpRequest) = """{"by":"$name","of":${request.contentUtf8()}}"""

    private fun answerPrefix(request: AggregatedHttpRequest) = StreamMessage.of(HttpData.ofUtf8(answerBody(request).substring(0, 8)))

    private fun answerHeaders(
        call: StandInCall,
        type: MediaType = MediaType.JSON,
    ): ResponseHeaders =
        ResponseHeaders
            .builder(HttpStatus.OK)
            .contentType(type)
            .add(REQUEST_ID_HEADER, call.requestId)
            .add(STAGE_HEADER, call.stage)
            .add(ATTEMPT_HEADER, call.attempt)
            .add(INCARNATION_HEADER, incarnation.toString())
            .build()

    private fun overriddenHeaders(
        call: StandInCall,
        behavior: StandInBehavior.OverrideHeader,
    ): ResponseHeaders {
        val headers = answerHeaders(call).toBuilder()
        headers.remove(behavior.header)
        behavior.value?.let { headers.add(behavior.header, it) }
        return headers.build()
    }

    private fun tokenStream(
        ctx: ServiceRequestContext,
        call: StandInCall,
        behavior: StandInBehavior.Tokens,
    ) = StreamMessage.of(tokens(call, behavior).asPublisher(EventLoopDispatcher(ctx.eventLoop().withoutContext())))

    private fun tokens(
        call: StandInCall,
        behavior: StandInBehavior.Tokens,
    ): Flow<HttpData> =
        flow {
            for (index in call.resumeFrom until behavior.count) {
                if (behavior.tokenMs > 0) delay(behavior.tokenMs)
                if (index == behavior.failBefore) throw IOException("died")
                if (index != behavior.skip) emit(tokenData(index))
                if (index == behavior.repeat) emit(tokenData(index))
            }
            if (behavior.hasEnd) emit(HttpData.ofUtf8("data:{\"count\":${behavior.count}}\n\n"))
        }

    private fun tokenData(index: Long) = HttpData.ofUtf8("data:{\"index\":$index,\"text\":\"t$index\"}\n\n")
}

private fun AggregatedHttpRequest.toCall(ordinal: Int): StandInCall {
    val received = "${method()} ${path()}\n${headers()}\n${contentUtf8()}\n${trailers()}"
    return StandInCall(
        ordinal = ordinal,
        requestId = headers().get(REQUEST_ID_HEADER).orEmpty(),
        stage = headers().get(STAGE_HEADER).orEmpty(),
        attempt = headers().get(ATTEMPT_HEADER).orEmpty(),
        deadlineMs = headers().getLong(DEADLINE_HEADER),
        resumeFrom = headers().getLong(RESUME_HEADER) ?: 0,
        bytes = received.toByteArray(),
    )
}
