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
 * @param tookMs how long a call takes where [act] is not set
 * @param coldLoad the most calls at once in a cold start, above which it falls over; null for no limit
 * @param warmAfter the number of answers after which it is warm
 */
internal class StandInBackend(
    private val name: String,
    tookMs: Long = 0,
    private val coldLoad: Int? = null,
    private val warmAfter: Int = 0,
) : AutoCloseable {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val running = AtomicInteger()
    private val answered = AtomicInteger()
    private val calls = ConcurrentLinkedQueue<StandInCall>()
    private val ordinals = AtomicInteger()
    private val incarnation = AtomicLong(1)
    private val server =
        Server
            .builder()
            .http(InetSocketAddress("127.0.0.1", 0))
            .requestTimeoutMillis(0)
            .service("/load") { _, _ -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, loadReport()) }
            .service("prefix:/") { ctx, request -> HttpResponse.of(request.aggregate().thenApply { take(ctx, it) }) }
            .build()

    /** What it does with each call. */
    @Volatile
    var act: (StandInCall) -> StandInAct = { StandInAct.Answer(tookMs) }

    /** Whether more calls came at once than it bears in a cold start; it then answers none until it is restarted. */
    @Volatile
    var hasFallenOver = false
        private set

    /** Whether calls are kept; a long measurement turns it off. */
    @Volatile
    var keepsCalls = true

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
        answered.set(0)
        hasFallenOver = false
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

    private val isCold: Boolean get() = answered.get() < warmAfter

    private fun loadReport() = """{"incarnation":"$incarnation","running":${running.get()},"cold":$isCold}"""

    private fun take(
        ctx: ServiceRequestContext,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        val call = request.toCall(ordinals.incrementAndGet())
        if (keepsCalls) calls += call
        val count = running.incrementAndGet()
        peakRunning.accumulateAndGet(count, ::maxOf)
        ctx.log().whenComplete().thenAccept { log ->
            running.decrementAndGet()
            if (log.responseCause() != null) cancelled.incrementAndGet()
        }
        if (coldLoad != null && isCold && count > coldLoad) hasFallenOver = true
        return if (hasFallenOver) HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE) else perform(ctx, act(call), call, request)
    }

    private fun perform(
        ctx: ServiceRequestContext,
        act: StandInAct,
        call: StandInCall,
        request: AggregatedHttpRequest,
    ): HttpResponse {
        if (act !is StandInAct.Status && act !is StandInAct.DieBeforeRun) noteRun(call)
        return when (act) {
            is StandInAct.Answer -> answer(call, request, act.tookMs)
            is StandInAct.Status -> HttpResponse.of(HttpStatus.valueOf(act.status))
            StandInAct.DieBeforeRun, StandInAct.DieAfterRun -> HttpResponse.ofFailure(IOException("died"))
            StandInAct.DieInAnswer ->
                HttpResponse.of(
                    head(call),
                    StreamMessage.concat(half(request), StreamMessage.aborted(IOException("died"))),
                )
            StandInAct.Hang -> HttpResponse.streaming()
            is StandInAct.Mislabel -> HttpResponse.of(mislabelled(call, act), HttpData.ofUtf8(wrapped(request)))
            is StandInAct.Tokens -> HttpResponse.of(head(call, MediaType.EVENT_STREAM), tokenStream(ctx, call, act))
        }
    }

    private fun noteRun(call: StandInCall) {
        if (keepsCalls) runs.computeIfAbsent(call.requestId) { AtomicInteger() }.incrementAndGet()
    }

    private fun answer(
        call: StandInCall,
        request: AggregatedHttpRequest,
        tookMs: Long,
    ): HttpResponse {
        answered.incrementAndGet()
        val response = HttpResponse.of(head(call), HttpData.ofUtf8(wrapped(request)))
        return if (tookMs == 0L) response else HttpResponse.delayed(response, Duration.ofMillis(tookMs))
    }

    private fun wrapped(request: AggregatedHttpRequest) = """{"by":"$name","of":${request.contentUtf8()}}"""

    private fun half(request: AggregatedHttpRequest) = StreamMessage.of(HttpData.ofUtf8(wrapped(request).substring(0, 8)))

    private fun head(
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

    private fun mislabelled(
        call: StandInCall,
        act: StandInAct.Mislabel,
    ): ResponseHeaders {
        val headers = head(call).toBuilder()
        headers.remove(act.header)
        act.value?.let { headers.add(act.header, it) }
        return headers.build()
    }

    private fun tokenStream(
        ctx: ServiceRequestContext,
        call: StandInCall,
        act: StandInAct.Tokens,
    ) = StreamMessage.of(tokens(call, act).asPublisher(EventLoopDispatcher(ctx.eventLoop().withoutContext())))

    private fun tokens(
        call: StandInCall,
        act: StandInAct.Tokens,
    ): Flow<HttpData> =
        flow {
            for (index in call.resumeFrom until act.count) {
                if (act.tokenMs > 0) delay(act.tokenMs)
                if (index == act.dieBefore) throw IOException("died")
                if (index != act.skip) emit(tokenData(index))
                if (index == act.repeat) emit(tokenData(index))
            }
            if (act.hasEnd) emit(HttpData.ofUtf8("data:{\"count\":${act.count}}\n\n"))
        }

    private fun tokenData(index: Long) = HttpData.ofUtf8("data:{\"index\":$index,\"text\":\"t$index\"}\n\n")
}

private fun AggregatedHttpRequest.toCall(ordinal: Int): StandInCall {
    val everything = "${method()} ${path()}\n${headers()}\n${contentUtf8()}\n${trailers()}"
    return StandInCall(
        ordinal = ordinal,
        requestId = headers().get(REQUEST_ID_HEADER).orEmpty(),
        stage = headers().get(STAGE_HEADER).orEmpty(),
        attempt = headers().get(ATTEMPT_HEADER).orEmpty(),
        deadlineMs = headers().getLong(DEADLINE_HEADER),
        resumeFrom = headers().getLong(RESUME_HEADER) ?: 0,
        bytes = everything.toByteArray(),
    )
}
