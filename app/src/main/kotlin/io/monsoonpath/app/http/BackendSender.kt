package io.monsoonpath.app.http

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.RequestOptions
import com.linecorp.armeria.client.ResponseTimeoutException
import com.linecorp.armeria.client.SessionProtocolNegotiationException
import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import com.linecorp.armeria.common.ResponseHeaders
import io.monsoonpath.app.client.GUARDED_CLIENTS
import io.monsoonpath.app.request.Mismatch
import io.monsoonpath.app.request.RequestMetrics
import io.monsoonpath.app.request.SendResult
import io.monsoonpath.app.request.StageCall
import io.monsoonpath.app.request.StageSender
import io.monsoonpath.app.request.Token
import io.monsoonpath.model.JsonDepthTracker
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import java.net.ConnectException
import java.net.UnknownHostException
import java.util.concurrent.ConcurrentHashMap

/** Sends attempts to backend servers over HTTP and checks that each answer belongs to the attempt that was sent. */
internal class BackendSender(
    private val metrics: RequestMetrics,
    private val maxAnswerBytes: Long = DEFAULT_MAX_ANSWER_BYTES,
    private val clientFactory: ClientFactory = GUARDED_CLIENTS,
) : StageSender {
    private val clients = ConcurrentHashMap<String, WebClient>()

    override suspend fun send(call: StageCall): SendResult =
        exchange(call, MediaType.JSON) { response ->
            val answer = response.aggregate().await()
            headFailureOrNull(call, answer.headers())
                ?: if (isCutOff(answer)) {
                    SendResult.Failed("did not answer: the answer was cut off")
                } else {
                    SendResult.Answered(answer.content().array(), answer.headers().get(INCARNATION_HEADER))
                }
        }

    override suspend fun stream(
        call: StageCall,
        deliver: suspend (Token) -> Boolean,
    ): SendResult =
        exchange(call, MediaType.EVENT_STREAM) { response ->
            val parts = response.split()
            val head = parts.headers().await()
            headFailureOrNull(call, head) ?: readTokens(parts.body(), head.get(INCARNATION_HEADER), deliver)
        }

    /**
     * Sends [call] and returns what [readResponse] makes of the response.
     *
     * The response is always aborted at the end, so that an early exit releases its connection and buffers.
     */
    private suspend fun exchange(
        call: StageCall,
        accept: MediaType,
        readResponse: suspend (HttpResponse) -> SendResult,
    ): SendResult {
        val request = HttpRequest.of(headers(call, accept), HttpData.wrap(call.body))
        val options = RequestOptions.builder().responseTimeoutMillis(call.budgetMs).build()
        val response = client(call.backend.url).execute(request, options)
        try {
            return readResponse(response)
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            return e.toResult()
        } finally {
            response.abort()
        }
    }

    private fun client(url: String): WebClient = clients[url] ?: clients.computeIfAbsent(url, ::newClient)

    private fun newClient(url: String) =
        WebClient
            .builder(url)
            .factory(clientFactory)
            .responseTimeoutMillis(0)
            .maxResponseLength(maxAnswerBytes)
            .build()

    private fun headers(
        call: StageCall,
        accept: MediaType,
    ): RequestHeaders {
        val headers =
            RequestHeaders
                .builder(HttpMethod.POST, call.stage.path)
                .contentType(MediaType.JSON)
                .add(HttpHeaderNames.ACCEPT, accept.toString())
                .add(REQUEST_ID_HEADER, call.exchange.id.value)
                .add(STAGE_HEADER, call.stage.id.value)
                .add(ATTEMPT_HEADER, call.attempt.toString())
                .addLong(DEADLINE_HEADER, call.budgetMs)
        call.exchange.workspace?.let { headers.addInt(PRIORITY_HEADER, it.priority) }
        if (call.firstToken > 0) headers.addLong(RESUME_HEADER, call.firstToken)
        call.kvFrom?.let { headers.add(KV_FROM_HEADER, it.url) }
        return headers.build()
    }

    /** Returns the failure that the response headers [head] show for [call], or null if they are as expected. */
    private fun headFailureOrNull(
        call: StageCall,
        head: ResponseHeaders,
    ): SendResult? {
        val status = head.status()
        if (status != HttpStatus.OK) {
            return SendResult.Failed("answered ${status.code()}", status.isServerError || status == HttpStatus.TOO_MANY_REQUESTS)
        }
        val mismatch = head.mismatchOrNull(call) ?: return null
        metrics.recordDropped(mismatch)
        return SendResult.Failed("sent an answer that was not asked for: $mismatch")
    }
}

/**
 * Returns whether [answer] is only the beginning of one. Over HTTP/1, an answer without a length ends with its connection, and the client
 * does not tell a reset from an end.
 */
private fun isCutOff(answer: AggregatedHttpResponse): Boolean {
    if (answer.headers().contentLength() >= 0) return false
    val tracker = JsonDepthTracker()
    answer.content().array().forEach { tracker.depthAfter(it.toInt().toChar()) }
    return answer.content().isEmpty || tracker.isOpen
}

private fun ResponseHeaders.mismatchOrNull(call: StageCall): Mismatch? {
    val request = get(REQUEST_ID_HEADER)
    val stage = get(STAGE_HEADER)
    val attempt = get(ATTEMPT_HEADER)
    return when {
        request == null || stage == null || attempt == null -> Mismatch.UNMARKED
        request != call.exchange.id.value -> Mismatch.FOREIGN_REQUEST
        stage != call.stage.id.value -> Mismatch.OTHER_STAGE
        attempt != call.attempt.toString() -> Mismatch.LATE_ATTEMPT
        else -> null
    }
}

/**
 * Converts this client error to a result. Only a failure to establish the connection proves that nothing was sent.
 *
 * The client also reports a request as unprocessed in other cases, which do not prove it: a write that failed on a closing
 * connection may have sent part of the request, and a stream that the peer refused (GOAWAY, REFUSED_STREAM) was sent to it.
 */
private fun Exception.toResult(): SendResult {
    val reason = (cause ?: this).javaClass.simpleName
    return when {
        this is ResponseTimeoutException -> SendResult.TimedOut
        this is UnprocessedRequestException && cause.isConnectFailure() -> SendResult.NotSent("cannot be reached: $reason")
        else -> SendResult.Failed("did not answer: $reason")
    }
}

private fun Throwable?.isConnectFailure() =
    this is ConnectException || this is UnknownHostException || this is SessionProtocolNegotiationException

private const val DEFAULT_MAX_ANSWER_BYTES = 67_108_864L
