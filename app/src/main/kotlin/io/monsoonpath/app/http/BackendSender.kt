package io.monsoonpath.app.http

import com.linecorp.armeria.client.UnprocessedRequestException
import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.AggregatedHttpResponse
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.request.StageCall
import io.monsoonpath.app.request.StageSender
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Ran
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.future.await
import java.util.concurrent.ConcurrentHashMap

/** Sends attempts to backend servers over HTTP and checks that each answer is the one asked for. */
internal class BackendSender : StageSender {
    private val clients = ConcurrentHashMap<String, WebClient>()

    override suspend fun send(call: StageCall): Outcome<ByteArray> =
        try {
            check(call, client(call.backend.url).execute(headers(call), HttpData.wrap(call.body)).aggregate().await())
        } catch (e: CancellationException) {
            throw e
        } catch (e: UnprocessedRequestException) {
            failure(call, "cannot be reached: ${e.cause?.javaClass?.simpleName}", Ran.NOT_RUN)
        } catch (e: Exception) {
            failure(call, "did not answer: ${e.javaClass.simpleName}", ranIfSent(call))
        }

    private fun client(url: String) = clients.computeIfAbsent(url) { WebClient.builder(it).responseTimeoutMillis(0).build() }

    private fun headers(call: StageCall): RequestHeaders =
        RequestHeaders
            .builder()
            .method(HttpMethod.POST)
            .path(call.stage.path)
            .contentType(MediaType.JSON)
            .add(REQUEST_ID_HEADER, call.exchange.id.value)
            .add(STAGE_HEADER, call.stage.id.value)
            .add(ATTEMPT_HEADER, call.attempt.toString())
            .addLong(DEADLINE_HEADER, call.remainingMs)
            .build()

    private fun check(
        call: StageCall,
        answer: AggregatedHttpResponse,
    ): Outcome<ByteArray> =
        when {
            answer.status() != HttpStatus.OK -> failure(call, "answered ${answer.status().code()}", ranIfSent(call))
            !answer.isFor(call) -> failure(call, "answered another request", ranIfSent(call))
            else -> Outcome.Ok(answer.content().array())
        }

    private fun AggregatedHttpResponse.isFor(call: StageCall) =
        headers().get(REQUEST_ID_HEADER) == call.exchange.id.value &&
            headers().get(STAGE_HEADER) == call.stage.id.value &&
            headers().get(ATTEMPT_HEADER) == call.attempt.toString()

    private fun ranIfSent(call: StageCall) = if (call.stage.idempotent) Ran.NOT_RUN else Ran.UNKNOWN

    private fun failure(
        call: StageCall,
        detail: String,
        ran: Ran,
    ) = refused(RefusalReason.BACKEND_FAILED, Step.ANSWER, "${call.backend.id} $detail", peer = call.backend.id.value, ran = ran)
}
