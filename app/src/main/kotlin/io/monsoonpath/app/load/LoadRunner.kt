package io.monsoonpath.app.load

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.http.DEADLINE_HEADER
import io.monsoonpath.app.http.REQUEST_ID_HEADER
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.Refusal
import kotlinx.serialization.SerializationException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionException
import java.util.concurrent.locks.LockSupport

/**
 * Sends the requests of a plan at their planned times, as an open-loop load generator: a slow answer does not delay later
 * requests. Latency is measured from the planned arrival, so that it includes any delay of the sender.
 *
 * @property requestIdPrefix the prefix of the id of each request of this run
 * @param keys the API keys by flow name
 */
internal class LoadRunner(
    private val plan: LoadPlan,
    private val keys: Map<String, String>,
    val requestIdPrefix: String,
) {
    private val clients =
        plan.targets.map {
            WebClient
                .builder(it)
                .responseTimeoutMillis(RESPONSE_TIMEOUT_MS)
                .maxResponseLength(MAX_RESPONSE_BYTES)
                .build()
        }

    /** Sends all requests and returns when each has ended, at most about a minute after the duration of the plan. */
    fun run(): LoadResults {
        val results = LoadResults(plan)
        val startNs = System.nanoTime()
        val completions = plan.arrivals().mapIndexed { i, arrival -> sendAt(startNs, i, arrival, results) }
        completions.forEach { it.join() }
        return results
    }

    private fun sendAt(
        startNs: Long,
        index: Int,
        arrival: Arrival,
        results: LoadResults,
    ): CompletableFuture<Unit> {
        val scheduledNs = startNs + (arrival.atMs * NS_PER_MS).toLong()
        waitUntil(scheduledNs)
        return clients[index % clients.size].execute(arrival.flow.toRequest("$requestIdPrefix-$index")).aggregate().handle {
            response,
            failure,
            ->
            val latencyMs = (System.nanoTime() - scheduledNs) / NS_PER_MS.toLong()
            results.forFlow(arrival.flow.name).record(outcomeOf(response, failure, arrival.flow), latencyMs, arrival.flow.deadlineMs)
        }
    }

    private fun waitUntil(scheduledNs: Long) {
        while (true) {
            val remainingNs = scheduledNs - System.nanoTime()
            if (remainingNs <= 0) return
            LockSupport.parkNanos(remainingNs)
        }
    }

    private fun Flow.toRequest(id: String): HttpRequest {
        val headers = RequestHeaders.builder(HttpMethod.POST, path).contentType(MediaType.JSON)
        headers.add(REQUEST_ID_HEADER, id)
        headers.addLong(DEADLINE_HEADER, deadlineMs)
        keys[name]?.let { headers.add(HttpHeaderNames.AUTHORIZATION, "Bearer $it") }
        if (stream) headers.add(HttpHeaderNames.ACCEPT, MediaType.EVENT_STREAM.toString())
        return HttpRequest.of(headers.build(), HttpData.ofUtf8(body.toString()))
    }

    private companion object {
        const val RESPONSE_TIMEOUT_MS = 60_000L
        const val MAX_RESPONSE_BYTES = 64L * 1_048_576
        const val NS_PER_MS = 1_000_000.0
    }
}

/** Returns the outcome of a request. A stream without an end event is a failure or a refusal, not an answer. */
private fun outcomeOf(
    response: AggregatedHttpResponse?,
    failure: Throwable?,
    flow: Flow,
): LoadOutcome {
    if (response ==
        null
    ) {
        return LoadOutcome.Failed(((failure as? CompletionException)?.cause ?: failure)?.javaClass?.simpleName ?: "no answer")
    }
    val text = response.contentUtf8()
    return when {
        response.status() != HttpStatus.OK -> refusalOf(text, response.status())
        flow.stream && response.contentType()?.`is`(MediaType.EVENT_STREAM) == true -> streamOutcomeOf(text)
        else -> LoadOutcome.Answered
    }
}

private fun streamOutcomeOf(text: String): LoadOutcome {
    val (name, data) = LAST_EVENT.find(text)?.destructured ?: return LoadOutcome.Failed("stream without its end")
    return if (name == "end") LoadOutcome.Answered else refusalOf(data, HttpStatus.OK)
}

private fun refusalOf(
    text: String,
    status: HttpStatus,
): LoadOutcome =
    try {
        LoadOutcome.Refused(DocumentJson.decodeFromString(Refusal.serializer(), text))
    } catch (_: SerializationException) {
        LoadOutcome.Failed("status ${status.code()} without a refusal")
    }

private val LAST_EVENT = Regex("""event: ?(end|error)\r?\ndata: ?(.*)\s*$""")
