package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.choice.AttemptOutcome
import io.monsoonpath.gateway.choice.SelectedBackend
import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.config.isIdempotent
import io.monsoonpath.gateway.http.AnswerHead
import io.monsoonpath.gateway.http.CallHead
import io.monsoonpath.gateway.http.CallerAnswer
import io.monsoonpath.gateway.http.Exchange
import io.monsoonpath.gateway.http.ExchangeFailure
import io.monsoonpath.gateway.http.ExchangeListener
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** What an attempt tells the request that it serves. */
internal sealed interface AttemptResult {
    /** The first byte of the answer came; the attempt goes on. */
    data object FirstByte : AttemptResult

    /** The whole answer was passed on. */
    data object Answered : AttemptResult

    /**
     * The backend server did not run the request.
     *
     * @property wasSent whether the request reached a backend server at all
     */
    class NotRun(
        val isInputGone: Boolean = false,
        val wasSent: Boolean = true,
    ) : AttemptResult

    /** No good answer came, and the request may have run. */
    class MayHaveRun(
        private val relay: AnswerRelay,
        private val canPassOn: Boolean,
    ) : AttemptResult {
        /** Gives the failure that the backend server answered with to the caller; returns false if there is none. */
        fun passOn(): Boolean {
            if (canPassOn) relay.end()
            return canPassOn
        }

        /** Drops the failure that the backend server answered with. */
        fun discard() = relay.discard()
    }
}

/**
 * One attempt of a request at one backend server.
 *
 * @param canTryElsewhere whether another attempt could follow: a slow answer is better than none
 */
internal class Attempt(
    private val context: RequestContext,
    private val choice: SelectedBackend,
    private val handles: List<String>,
    private val resumeAfter: String?,
    private val relay: AnswerRelay,
    private val answer: CallerAnswer,
    private val services: Services,
    private val canTryElsewhere: () -> Boolean,
    private val report: (AttemptResult) -> Unit,
) : ExchangeListener {
    private val server = choice.server
    private val startedAtMs = services.clock.nowMs()
    private val tokens = context.head.promptTokens
    private var exchange: Exchange? = null
    private var head: AnswerHead? = null
    private var isOver = false
    private var hasData = false

    /** Sends the request; [number] counts the attempts of the request from 1. */
    fun start(number: Int) {
        services.loads.recordStart(choice.load, tokens)
        val remainingMs = context.endAtMs - startedAtMs
        services.log.line(
            "attempt.sent",
            "request" to context.head.id,
            "attempt" to number,
            "backend" to server.id,
            "reason" to choice.reason,
            "inFlight" to choice.load.inFlight,
            "remainingMs" to remainingMs,
            "resumeAfter" to resumeAfter,
        )
        val maxIdleMs = if (context.route.kind.isIdempotent) Long.MAX_VALUE else NON_IDEMPOTENT_MAX_IDLE_MS
        exchange = services.links.to(server).send(callOf(remainingMs), this, maxIdleMs)
        if (context.route.kind == RouteKind.Idempotent &&
            number < context.route.maxAttempts
        ) {
            services.later.schedule(patienceMs(remainingMs), ::waitedEnough)
        }
    }

    /** Gives the attempt up. */
    fun cancel() = end(AttemptOutcome.NEUTRAL, "cancelled") { exchange?.cancel() }

    private fun callOf(remainingMs: Long): DefaultFullHttpRequest {
        val request = context.request
        val call = CallHead(server, remainingMs, context.workspace?.id, context.rank, handles, resumeAfter)
        val headers = services.codec.encode(request.head.headers(), call)
        val full =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.target,
                request.body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        val hadBody = HttpUtil.isContentLengthSet(request.head) || HttpUtil.isTransferEncodingChunked(request.head)
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (hadBody) {
            HttpUtil.setContentLength(
                full,
                request.body.readableBytes().toLong(),
            )
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        }
        return full
    }

    /** A request that may run again does not wait for a backend server that has become slow or silent. */
    private fun patienceMs(remainingMs: Long): Long =
        maxOf(MIN_PATIENCE_MS, (choice.load.latencyMs * PATIENCE_FACTOR).toLong()).coerceAtMost(remainingMs * 2 / 3)

    private fun waitedEnough() {
        if (isOver || head != null || !canTryElsewhere()) return
        exchange?.cancel()
        lost("no answer in time")
    }

    override fun isOwn(response: HttpResponse): Boolean {
        val decoded = services.codec.decode(response)
        return decoded.requestId == null || decoded.requestId == context.head.id
    }

    override fun onHead(response: HttpResponse) {
        val decoded = services.codec.decode(response)
        head = decoded
        relay.head(response)
        if (!isPassable(response, decoded)) {
            exchange?.cancel()
            lost("an unsigned or encoded answer")
        }
    }

    private fun isPassable(
        response: HttpResponse,
        head: AnswerHead,
    ): Boolean = !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) && (head.isSigned || head.status !in SUCCESS)

    override fun onContent(content: ByteBuf) {
        if (isOver || head?.isNotRun == true) return
        if (!hasData) firstData()
        if (!relay.content(content)) {
            exchange?.cancel()
            lost("events are missing")
        } else if (relay.hasBegun && callerIsSlow()) {
            exchange?.setReading(false)
        }
    }

    private fun callerIsSlow(): Boolean {
        if (!answer.isCongested) return false
        answer.onDrained { exchange?.setReading(true) }
        return true
    }

    private fun firstData() {
        hasData = true
        noteAnswer()
        if (head?.status in SUCCESS) report(AttemptResult.FirstByte)
    }

    private fun noteAnswer() = services.loads.recordFirstByte(choice.load, tokens, services.clock.nowMs() - startedAtMs, head?.load)

    override fun onEnd() {
        val head = checkNotNull(head) { "an answer without a head ended" }
        if (!hasData) noteAnswer()
        hasData = true
        when {
            head.isNotRun || head.status == MISDIRECTED -> notRun(head.status)
            head.status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() ->
                end(AttemptOutcome.FAILED, "status ${head.status}") { report(AttemptResult.MayHaveRun(relay, canPassOn = !relay.hasBegun)) }
            head.status in SUCCESS && !relay.canEnd -> lost("the answer ended early")
            else ->
                end(AttemptOutcome.ANSWERED, "status ${head.status}") {
                    relay.end()
                    report(AttemptResult.Answered)
                }
        }
    }

    private fun notRun(status: Int) =
        end(if (status == MISDIRECTED) AttemptOutcome.MISDIRECTED else AttemptOutcome.TURNED_AWAY, "not run, status $status") {
            report(AttemptResult.NotRun(isInputGone = status == HttpResponseStatus.CONFLICT.code()))
        }

    override fun onFailure(failure: ExchangeFailure) {
        if (!failure.isUnsent) return lost(failure.name)
        end(AttemptOutcome.LOST, failure.name) { report(AttemptResult.NotRun(wasSent = false)) }
    }

    private fun lost(step: String) = end(AttemptOutcome.LOST, step) { report(AttemptResult.MayHaveRun(relay, canPassOn = false)) }

    private fun end(
        end: AttemptOutcome,
        detail: String,
        then: () -> Unit,
    ) {
        if (isOver) return
        isOver = true
        if (!hasData) choice.load.pendingPromptTokens -= tokens
        services.loads.recordEnd(server, choice.load, end)
        services.metrics.attemptEnded(context.pool.value, end.name)
        services.log.line(
            "attempt.ended",
            "request" to context.head.id,
            "backend" to server.id,
            "end" to end,
            "detail" to detail,
            "tookMs" to services.clock.nowMs() - startedAtMs,
        )
        then()
    }

    private companion object {
        val SUCCESS = 200..299
        val MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code()

        /** A connection that has been idle longer may be closing; a call that can't be repeated is not risked on it. */
        const val NON_IDEMPOTENT_MAX_IDLE_MS = 500L
        const val MIN_PATIENCE_MS = 250L
        const val PATIENCE_FACTOR = 4.0
    }
}
