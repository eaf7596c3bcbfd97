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
 * A stand-in for a backend server of any kind: it wraps what it was sent, keeps every byte of it and counts each run.
 *
 * @param delayMs how long a call takes where [behavior] is not set
 * @param coldLoad the most calls at once in a cold start, above which it falls over; null for no limit
 * @param warmAfter the number of answers after which it is warm
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

    /** What it does with each call. */
    @Volatile
    var behavior: (StandInCall) -> StandInBehavior = { StandInBehavior.Answer(delayMs) }

    /** Whether more calls came at once than it bears in a cold start; it then answers none until it is restarted. */
    @Volatile
    var isOverloaded = false
        private set

    /** Whether calls are kept; a long measurement turns it off. */
    @Volatile
    var recordsCalls = true

    /** The base address. */
    val url: String get() = "http://127.0.0.1:${server.activeLocalPort()}"

    /** The calls received so far, in order. */
    val received: List<StandInCall> get() = calls.toList()

    /** The most calls that were running at once. */
    val peakRunning = AtomicInteger()

    /** The number of calls that were cut off by the other side. */
    val cancelled = AtomicInteger()

    /** Starts serving. */
    fun start(): StandInBackend {
        server.start().join()
        return this
    }

    /** Becomes a new incarnation, which is cold. */
    fun restart() {
        incarnation.incrementAndGet()
        answerCount.set(0)
        isOverloaded = false
    }

    /** Returns how often a stage of [requestId] has run here. */
    fun runsOf(requestId: String): Int = runs[requestId]?.get() ?: 0

    /** Returns how often any stage has run here. */
    fun totalRuns(): Int = runs.values.sumOf { it.get() }

    /** Dies: stops listening and cuts its connections, without waiting for that. */
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
