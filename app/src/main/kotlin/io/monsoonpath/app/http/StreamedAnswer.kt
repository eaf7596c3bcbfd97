package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.sse.ServerSentEvent
import com.linecorp.armeria.server.streaming.ServerSentEvents
import io.monsoonpath.app.request.Answer
import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.RequestHandler
import io.monsoonpath.app.request.Token
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.reactive.asPublisher
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.coroutines.ContinuationInterceptor

/**
 * Runs a request whose tokens the caller wants as a stream.
 *
 * A refusal or a buffered answer before the first token is returned as an ordinary response. Otherwise the response is a stream of
 * server-sent events. The stream ends with an `end` event that contains the number of tokens, or with an `error` event that
 * contains the refusal. A stream without either of them was interrupted.
 */
internal suspend fun streamedAnswer(
    scope: CoroutineScope,
    filters: RequestHandler,
    createExchange: (TokenChannel) -> Exchange,
): HttpResponse {
    val tokens = TokenChannel()
    val exchange = createExchange(tokens)
    val dispatcher = checkNotNull(currentCoroutineContext()[ContinuationInterceptor])
    val running = scope.async(dispatcher) { filters.handle(exchange) }
    running.invokeOnCompletion { tokens.close() }
    val first = cancelUnlessCompleted(running) { tokens.nextOrNull() }
    val outcome = if (first == null) cancelUnlessCompleted(running) { running.await() } else null
    if (outcome is Outcome.Refused || (outcome is Outcome.Ok && outcome.value is Answer.Buffered)) return outcome.toResponse(exchange.id)
    val events = serverSentEvents(first, tokens, running)
    return ServerSentEvents.fromPublisher(answerHeaders(MediaType.EVENT_STREAM, exchange.id), events.asPublisher(dispatcher))
}

/** Runs [wait] and cancels [running] if [wait] does not complete, for instance because the caller disconnected. */
private suspend fun <T> cancelUnlessCompleted(
    running: Deferred<*>,
    wait: suspend () -> T,
): T {
    var isCompleted = false
    try {
        return wait().also { isCompleted = true }
    } finally {
        if (!isCompleted) running.cancel()
    }
}

private fun serverSentEvents(
    first: Token?,
    tokens: TokenChannel,
    running: Deferred<Outcome<Answer>>,
): Flow<ServerSentEvent> =
    flow {
        try {
            var token = first
            while (token != null) {
                emit(tokenEvent(token))
                token = tokens.nextOrNull()
            }
            emit(finalEvent(running))
        } finally {
            running.cancel()
        }
    }

private suspend fun finalEvent(running: Deferred<Outcome<Answer>>): ServerSentEvent =
    when (val outcome = running.await()) {
        is Outcome.Refused -> errorEvent(outcome.refusal)
        is Outcome.Ok ->
            when (val answer = outcome.value) {
                is Answer.Streamed -> event("end", Json.encodeToString(EndData.serializer(), EndData(answer.tokenCount)))
                is Answer.Buffered -> errorEvent(BUFFERED_ANSWER_AFTER_TOKENS.refusal)
            }
    }

private fun tokenEvent(token: Token): ServerSentEvent =
    ServerSentEvent
        .builder()
        .id(token.index.toString())
        .event("token")
        .data(Json.encodeToString(TokenData.serializer(), TokenData(token.index, token.text)))
        .build()

private fun errorEvent(refusal: Refusal) = event("error", refusal.toJson())

private fun event(
    name: String,
    data: String,
): ServerSentEvent =
    ServerSentEvent
        .builder()
        .event(name)
        .data(data)
        .build()

/** Represents the data of a `token` event. */
@Serializable
private class TokenData(
    val index: Long,
    val text: String,
)

/** Represents the data of an `end` event; [count] is the number of tokens in the whole answer. */
@Serializable
private class EndData(
    val count: Long,
)

private val BUFFERED_ANSWER_AFTER_TOKENS =
    refused(RefusalReason.INTERNAL, Step.STREAM, "an unexpected error", ran = ExecutionStatus.UNKNOWN)
