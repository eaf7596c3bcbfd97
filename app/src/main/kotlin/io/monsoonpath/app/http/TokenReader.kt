package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.stream.StreamMessage
import io.monsoonpath.app.request.SendResult
import io.monsoonpath.app.request.Token
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.transform
import kotlinx.coroutines.reactive.asFlow
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream

/**
 * Reads the server-sent events of an engine from [body] and passes their tokens to [deliver].
 *
 * The body is read without a buffer, only as fast as [deliver] accepts tokens. A stream without an explicit end event is a
 * failure, regardless of how many tokens arrived.
 */
internal suspend fun readTokens(
    body: StreamMessage<HttpData>,
    incarnation: String?,
    deliver: suspend (Token) -> Boolean,
): SendResult {
    val splitter = LineSplitter()
    return body
        .asFlow()
        .buffer(Channel.RENDEZVOUS)
        .transform { chunk ->
            for (line in splitter.append(chunk.array())) processLine(line, incarnation, deliver)?.let { emit(it) }
        }.firstOrNull() ?: SendResult.Failed("ended its stream without an end")
}

/** Processes [line] and returns the result if [line] ends the stream, or null if the stream continues. */
private suspend fun processLine(
    line: String,
    incarnation: String?,
    deliver: suspend (Token) -> Boolean,
): SendResult? {
    if (!line.startsWith(DATA_FIELD)) return null
    val event = eventOrNull(line.removePrefix(DATA_FIELD)) ?: return SendResult.Failed("sent an event that cannot be read")
    if (event.count != null) return SendResult.StreamEnded(event.count, incarnation)
    if (event.index == null || event.text == null) return SendResult.Failed("sent an event that cannot be read")
    return if (deliver(Token(event.index, event.text))) null else SendResult.Failed("was given up at token ${event.index}")
}

private fun eventOrNull(json: String): EngineEvent? =
    try {
        EVENT_JSON.decodeFromString(EngineEvent.serializer(), json)
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

/** Splits a sequence of byte chunks into lines; a line may span several chunks. */
private class LineSplitter {
    private val pending = ByteArrayOutputStream()

    /** Appends [chunk] and returns the lines that it completes. */
    fun append(chunk: ByteArray): List<String> {
        val lines = ArrayList<String>()
        var start = 0
        for (i in chunk.indices) {
            if (chunk[i] != NEWLINE) continue
            pending.write(chunk, start, i - start)
            lines += pending.toString(Charsets.UTF_8).trimEnd('\r')
            pending.reset()
            start = i + 1
        }
        pending.write(chunk, start, chunk.size - start)
        require(pending.size() <= MAX_LINE_BYTES) { "a line of the event stream is longer than $MAX_LINE_BYTES bytes" }
        return lines
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val MAX_LINE_BYTES = 65_536
    }
}

private const val DATA_FIELD = "data:"
private val EVENT_JSON = Json { ignoreUnknownKeys = true }
