package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.choice.AttemptOutcome
import io.monsoonpath.gateway.choice.SelectedBackend
import io.monsoonpath.gateway.config.RouteKind
import io.monsoonpath.gateway.config.isIdempotent
import io.monsoonpath.gateway.crash.UnprovenAttempt
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.http.CallHead
import io.monsoonpath.gateway.http.Exchange
import io.monsoonpath.gateway.http.ExchangeFailure
import io.monsoonpath.gateway.http.ExchangeListener
import io.monsoonpath.gateway.http.OutgoingRequest
import io.monsoonpath.gateway.http.ResponseHead
import io.monsoonpath.gateway.http.ResponseOwner
import io.monsoonpath.gateway.http.ResponseWriter
import io.monsoonpath.gateway.http.isFramed
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.math.roundToLong

/** What an attempt reports to the request that it serves. */
internal sealed interface AttemptResult {
    /** The first byte of a successful response arrived; the attempt continues. */
    data object FirstByte : AttemptResult

    /** The complete response was relayed to the caller. */
    data object Answered : AttemptResult

    /**
     * The backend server did not run the request.
     *
     * @property isInputGone whether the results of the stages no longer exist, so that the stages must run again
     * @property wasSent whether the request reached the backend server
     */
    class NotRun(
        val isInputGone: Boolean = false,
        val wasSent: Boolean = true,
    ) : AttemptResult

    /**
     * No usable response arrived, and the request may have run.
     *
     * @property lostAfterSilenceMs how long nothing had been received, in milliseconds, when the connection ended within the response, as
     * when the backend server crashes; null if the connection did not end
     */
    class MayHaveRun(
        private val relay: ResponseRelay,
        private val canRelayFailure: Boolean,
        val lostAfterSilenceMs: Long? = null,
    ) : AttemptResult {
        /** Relays the failure response of the backend server to the caller; returns false if there is none. */
        fun relayFailure(): Boolean {
            if (canRelayFailure) relay.end()
            return canRelayFailure
        }

        /** Discards what the backend server sent and was not relayed. */
        fun discard() = relay.discard()
    }
}

/**
 * The part that a copy of the run plays in an attempt.
 *
 * @property copyHost the engine to which the run is copied while it runs, or null
 * @property isContinuation whether the run continues from a copy
 */
internal class AttemptCopy(
    val copyHost: Address?,
    val isContinuation: Boolean,
)

/**
 * Represents one attempt to serve a request at one backend server.
 *
 * @param canRetry returns whether another attempt could follow; if none can, a slow response is awaited rather than cancelled
 */
internal class Attempt(
    private val context: RequestContext,
    private val selected: SelectedBackend,
    private val handles: List<String>,
    private val resumeAfter: String?,
    private val copy: AttemptCopy,
    private val relay: ResponseRelay,
    private val writer: ResponseWriter,
    private val services: RequestServices,
    private val canRetry: () -> Boolean,
    private val onResult: (AttemptResult) -> Unit,
) : ExchangeListener {
    private val server = selected.server
    private val startedAtMs = services.clock.nowMs()
    private val promptTokens = context.head.promptTokens
    private val unproven =
        context.head.sharedPartIds
            .takeIf { it.isNotEmpty() }
            ?.let { UnprovenAttempt(server, it, startedAtMs) }
    private var isProven = false
    private var exchange: Exchange? = null
    private var head: ResponseHead? = null

    /** Whether the length of the response is known, so that its end cannot be that of a server that crashes. */
    private var isFramed = false
    private var isFinished = false
    private var ignoredBytes = 0L

    /** Whether the response of an earlier attempt was relayed in part, so that an error must not follow it. */
    private var isContinuation = false

    /** Whether the request was written to a connection. */
    var isSent = false
        private set
    private var isWithheld = false
    private var hasRecordedResponse = false
    private var headAtMs: Long? = null

    /** The time of the last receipt, or of the last time at which received bytes were not read. */
    private var receivedAtMs = startedAtMs
    private var firstContentAtMs: Long? = null

    /** Sends the request; [number] is the number of this attempt, from 1. */
    fun start(number: Int) {
        services.loads.recordStart(selected.load, promptTokens)
        services.log.line(
            "attempt.sent",
            "request" to context.head.id,
            "attempt" to number,
            "backend" to server.id,
            "reason" to selected.reason,
            "inFlight" to selected.load.inFlight,
            "remainingMs" to remainingMs(),
            "resumeAfter" to resumeAfter,
            "continued" to copy.isContinuation.takeIf { it },
            "expectedMs" to selected.expectation?.durationMs?.roundToLong(),
            "pacePercent" to selected.expectation?.let { (it.statedPace * PERCENT).roundToLong() },
            "paceAgeMs" to selected.expectation?.paceAgeMs,
        )
        unproven?.let(services.crashes.detector::recordStart)
        val maxIdleMs = if (context.route.kind.isIdempotent) Long.MAX_VALUE else NON_IDEMPOTENT_MAX_IDLE_MS
        exchange = services.connectionPools.poolFor(server).send(OutgoingRequest.Deferred(::createRequest), this, maxIdleMs)
        if (context.route.kind == RouteKind.Idempotent && number < context.route.maxAttempts) {
            services.scheduler.schedule(attemptTimeoutMs(remainingMs()), ::handleTimeout)
        }
    }

    /** Cancels the attempt; no result is reported. */
    fun cancel() = end(AttemptOutcome.NEUTRAL, "cancelled") { exchange?.cancel() }

    /** Cancels the attempt because the time of the request is over; no result is reported. */
    fun expire() =
        if (isSent &&
            head == null
        ) {
            end(AttemptOutcome.SILENT, "no answer in the time of the request") { exchange?.cancel() }
        } else {
            cancel()
        }

    private fun remainingMs() = context.deadlineAtMs - services.clock.nowMs()

    /** Returns the request with the time that is left when it is written, or null if no time is left or the caller has left. */
    private fun createRequest(): DefaultFullHttpRequest? {
        val remainingMs = remainingMs()
        if (remainingMs <= 0 || !writer.isConnected) return null
        isWithheld = !services.selector.gate.mayWrite(server, selected.selectedAtMs)
        if (isWithheld) return null
        isSent = true
        val request = context.request
        val call =
            CallHead(server, remainingMs, context.workspace?.id, context.rank, handles, resumeAfter, copy.copyHost, copy.isContinuation)
        val headers = services.codec.encode(request.head.headers(), call)
        val backendRequest =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.target,
                request.body.retainedDuplicate(),
                headers,
                EmptyHttpHeaders.INSTANCE,
            )
        val hasBody = HttpUtil.isContentLengthSet(request.head) || HttpUtil.isTransferEncodingChunked(request.head)
        headers.remove(HttpHeaderNames.TRANSFER_ENCODING)
        if (hasBody) {
            HttpUtil.setContentLength(
                backendRequest,
                request.body.readableBytes().toLong(),
            )
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH)
        }
        return backendRequest
    }

    /** Returns how long to wait for a response head, so that an idempotent request does not depend on a slow or silent backend server. */
    private fun attemptTimeoutMs(remainingMs: Long): Long {
        val usualMs = maxOf(MIN_ATTEMPT_TIMEOUT_MS, (selected.load.latencyMs * ATTEMPT_TIMEOUT_FACTOR).toLong())
        return (usualMs * services.loads.paceRise(server, services.clock.nowMs())).toLong().coerceAtMost(remainingMs * 2 / 3)
    }

    private fun handleTimeout() {
        if (isFinished || head != null || !canRetry()) return
        exchange?.cancel()
        endLost("no answer in time")
    }

    override fun ownerOf(response: HttpResponse): ResponseOwner {
        val decoded = services.codec.decode(response)
        return when {
            decoded.requestId == context.head.id -> ResponseOwner.THIS_REQUEST
            decoded.requestId != null -> ResponseOwner.OTHER_REQUEST
            // Servers that are full name no request. Connections are not kept after refusals, so this is no copy of an earlier one.
            decoded.isRejection -> ResponseOwner.THIS_REQUEST
            else -> ResponseOwner.UNKNOWN
        }
    }

    override fun onHead(response: HttpResponse) {
        val decoded = services.codec.decode(response)
        head = decoded
        services.selector.gate.recordHead(server, decoded, selected.selectedAtMs)
        // Another server has answered at the address.
        if (decoded.status != MISDIRECTED) services.loads.recordReport(server, decoded.load)
        isFramed = isFramed(response)
        headAtMs = services.clock.nowMs()
        receivedAtMs = services.clock.nowMs()
        // The head of a rejection decides alone; nothing of a rejection is relayed.
        if (decoded.isRejection) return
        isContinuation = relay.hasStarted
        relay.head(response)
        if (!canRelay(response, decoded)) {
            exchange?.cancel()
            endLost("an unsigned or encoded answer")
        }
    }

    private fun canRelay(
        response: HttpResponse,
        head: ResponseHead,
    ): Boolean = !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) && (head.isSigned || head.status !in SUCCESS_STATUS)

    override fun onContent(content: ByteBuf) {
        if (isFinished) return
        receivedAtMs = services.clock.nowMs()
        if (head?.isRejection == true || isErrorAfterStart()) return ignore(content)
        if (!hasRecordedResponse) handleFirstContent()
        if (services.clock.nowMs() - checkNotNull(firstContentAtMs) >= PROOF_MS) recordProof()
        if (!relay.content(content)) {
            exchange?.cancel()
            endLost("events are missing or too long")
        } else if (relay.hasStarted && awaitDrainIfCongested()) {
            exchange?.setReading(false)
        }
    }

    /** Ends the attempt if a body of which nothing is relayed does not end. */
    private fun ignore(content: ByteBuf) {
        ignoredBytes += content.readableBytes()
        if (ignoredBytes <= MAX_IGNORED_BYTES) return
        exchange?.cancel()
        val rejection = head?.takeIf { it.isRejection }
        if (rejection != null) endNotRun(rejection.status) else endLost("an error without end")
    }

    /** Whether this response is an error, of which nothing may follow the part of a response that the caller has received. */
    private fun isErrorAfterStart() = isContinuation && head?.status !in SUCCESS_STATUS

    /**
     * A response that does not name its request could not be told from a later copy of it, nor a refusal from parts of copies of earlier
     * refusals, so its connection is not used again.
     */
    override fun isReusable(): Boolean = head?.let { it.requestId == context.head.id && !it.isRejection } == true

    private fun awaitDrainIfCongested(): Boolean {
        if (!writer.isCongested) return false
        writer.onDrained {
            receivedAtMs = services.clock.nowMs()
            exchange?.setReading(true)
        }
        return true
    }

    private fun handleFirstContent() {
        hasRecordedResponse = true
        firstContentAtMs = services.clock.nowMs()
        recordResponse()
        if (head?.status !in SUCCESS_STATUS) return
        services.loads.recordDuration(selected, services.clock.nowMs() - startedAtMs)
        onResult(AttemptResult.FirstByte)
    }

    /** Records that the backend server runs on although it has begun to answer, so that the prompt did not crash it. */
    private fun recordProof() {
        if (unproven == null || isProven) return
        isProven = true
        services.crashes.detector.recordAnswer(unproven)
        services.crashes.quarantine.recordAnswer(unproven.parts)
    }

    private fun recordResponseEnd() {
        when {
            unproven == null || isProven -> Unit
            isFramed -> recordProof()
            else -> services.crashes.detector.recordEndWithConnection(unproven) { services.crashes.quarantine.recordAnswer(unproven.parts) }
        }
    }

    private fun recordResponse() =
        services.loads.recordFirstByte(server, selected.load, promptTokens, services.clock.nowMs() - startedAtMs, head?.load)

    override fun onEnd() {
        val head = checkNotNull(head) { "the response ended before its head" }
        if (!hasRecordedResponse) recordResponse()
        hasRecordedResponse = true
        if (head.isSigned && !head.isRejection) recordResponseEnd()
        when {
            head.isRejection -> endNotRun(head.status)
            head.status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code() ->
                end(
                    AttemptOutcome.FAILED,
                    "status ${head.status}",
                ) { onResult(AttemptResult.MayHaveRun(relay, canRelayFailure = !relay.hasStarted)) }
            isErrorAfterStart() -> endLost("status ${head.status} after the start of the response")
            head.status in SUCCESS_STATUS && !relay.canBeComplete(isFramed) ->
                endLost("the answer ended early", isConnectionLost = !isFramed)
            else ->
                end(AttemptOutcome.ANSWERED, "status ${head.status}") {
                    relay.end()
                    onResult(AttemptResult.Answered)
                }
        }
    }

    /** Whether the backend server states that it did not run the request. */
    private val ResponseHead.isRejection: Boolean get() = isNotRun || status == MISDIRECTED

    private fun endNotRun(status: Int) =
        end(if (status == MISDIRECTED) AttemptOutcome.MISDIRECTED else AttemptOutcome.TURNED_AWAY, "not run, status $status") {
            onResult(AttemptResult.NotRun(isInputGone = status == HttpResponseStatus.CONFLICT.code()))
        }

    override fun onFailure(failure: ExchangeFailure) {
        head?.takeIf { it.isRejection }?.let { return endNotRun(it.status) }
        if (!failure.isUnsent) {
            if (!isProven && failure.isConnectionLoss) unproven?.let(services.crashes.detector::recordLoss)
            return endLost(failure.name, failure.isConnectionLoss)
        }
        val outcome = if (isWithheld) AttemptOutcome.NEUTRAL else AttemptOutcome.LOST
        end(outcome, if (isWithheld) "withheld" else failure.name) { onResult(AttemptResult.NotRun(wasSent = false)) }
    }

    private fun endLost(
        detail: String,
        isConnectionLost: Boolean = false,
    ) = end(AttemptOutcome.LOST, detail) {
        val silentMs = services.clock.nowMs() - receivedAtMs
        onResult(AttemptResult.MayHaveRun(relay, canRelayFailure = false, silentMs.takeIf { isConnectionLost }))
    }

    private fun end(
        outcome: AttemptOutcome,
        detail: String,
        afterEnd: () -> Unit,
    ) {
        if (isFinished) return
        isFinished = true
        if (!isProven) unproven?.let(services.crashes.detector::recordEnd)
        if (!hasRecordedResponse) selected.load.pendingPromptTokens -= promptTokens
        services.loads.recordEnd(server, selected.load, outcome)
        services.selector.gate.recordEnd(server, selected.selectedAtMs)
        services.metrics.attemptEnded(context.pool.value, outcome.name)
        services.log.line(
            "attempt.ended",
            "request" to context.head.id,
            "backend" to server.id,
            "end" to outcome,
            "detail" to detail,
            "exchange" to exchange?.numberOnConnection,
            "named" to head?.let { it.requestId != null },
            "headMs" to headAtMs?.let { it - startedAtMs },
            "firstContentMs" to firstContentAtMs?.let { it - startedAtMs },
            "tookMs" to services.clock.nowMs() - startedAtMs,
        )
        afterEnd()
    }

    private companion object {
        val SUCCESS_STATUS = 200..299
        val MISDIRECTED = HttpResponseStatus.MISDIRECTED_REQUEST.code()

        /** A connection that has been idle for longer may be closing. A request that can't be repeated is not sent over it. */
        const val NON_IDEMPOTENT_MAX_IDLE_MS = 500L

        /** A backend server that runs on for this long after the first content of an answer was not crashed by it. */
        const val PROOF_MS = 250L

        /** Longer than the texts of errors; to read on would cost more than a new connection. */
        const val MAX_IGNORED_BYTES = 64 * 1024L
        const val MIN_ATTEMPT_TIMEOUT_MS = 250L
        const val ATTEMPT_TIMEOUT_FACTOR = 4.0
        const val PERCENT = 100
    }
}
