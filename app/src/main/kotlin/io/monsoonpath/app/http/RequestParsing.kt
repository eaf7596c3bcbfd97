package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.request.refused
import io.monsoonpath.model.JsonDepthTracker
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.concurrent.ThreadLocalRandom

/** Parses the headers of a caller's request, or returns a refusal if they are invalid. */
internal fun parseRequestHead(headers: RequestHeaders): Outcome<RequestHead> {
    headerProblemOrNull(headers)?.let { return badRequest(it) }
    val id = headers.get(REQUEST_ID_HEADER)?.let { RequestId(it) } ?: generateRequestId()
    return Outcome.Ok(RequestHead(id, headers.keyOrNull(), headers.getLong(DEADLINE_HEADER), headers.wantsStream()))
}

private fun headerProblemOrNull(headers: RequestHeaders): String? {
    val repeated = NON_REPEATABLE_HEADERS.firstOrNull { headers.getAll(it).size > 1 }
    val id = headers.get(REQUEST_ID_HEADER)
    val deadline = headers.get(DEADLINE_HEADER)
    return when {
        repeated != null -> "the header $repeated stands there more than once"
        headers.method() != HttpMethod.POST -> "the method must be POST"
        id != null && !isValidRequestId(id) -> "$REQUEST_ID_HEADER must be 1 to 64 letters, digits, '.', '_' or '-'"
        deadline != null && !isValidDeadline(deadline) -> "$DEADLINE_HEADER must be a whole number from 1 to ${DEADLINE_RANGE_MS.last}"
        headers.contentType()?.isJson == false -> "the content type must be JSON"
        headers.hasKeyInOtherHeaders() -> "the key may stand in its own header only"
        else -> null
    }
}

private fun isValidDeadline(text: String) = text.toLongOrNull()?.let { it in DEADLINE_RANGE_MS } == true

private fun RequestHeaders.hasKeyInOtherHeaders(): Boolean {
    val key = keyOrNull()
    return !key.isNullOrEmpty() && (key in path() || get(REQUEST_ID_HEADER)?.contains(key) == true)
}

/** Returns a refusal if [body] is not a valid JSON document or contains [key], or null if it is acceptable. */
internal fun bodyRefusalOrNull(
    body: ByteArray,
    key: String?,
): Outcome.Refused? {
    if (body.isEmpty()) return badRequest("the body is empty")
    if (isNestedTooDeeply(body)) return badRequest("the body is nested more than $MAX_BODY_DEPTH levels deep")
    return try {
        val text = body.decodeToString(throwOnInvalidSequence = true)
        Json.parseToJsonElement(text)
        if (!key.isNullOrEmpty() && key in text) badRequest("the key may stand in its own header only") else null
    } catch (_: SerializationException) {
        badRequest("the body is not JSON")
    } catch (_: CharacterCodingException) {
        badRequest("the body is not UTF-8")
    }
}

/** Returns a new id of 128 random bits in hexadecimal form, so that callers cannot guess it. */
internal fun generateRequestId(): RequestId {
    val random = ThreadLocalRandom.current()
    return RequestId(random.nextLong().toULong().toString(HEX_RADIX) + random.nextLong().toULong().toString(HEX_RADIX))
}

private fun badRequest(detail: String) = refused(RefusalReason.BAD_REQUEST, Step.RECEIVE, detail)

private fun isValidRequestId(text: String) =
    text.length in 1..MAX_ID_CHARS && text.first().isAsciiLetterOrDigit() && text.all { it.isAsciiLetterOrDigit() || it in "._-" }

private fun Char.isAsciiLetterOrDigit() = this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9'

private fun RequestHeaders.keyOrNull(): String? {
    val value = get(HttpHeaderNames.AUTHORIZATION) ?: return null
    return if (value.startsWith(BEARER_PREFIX, ignoreCase = true)) value.substring(BEARER_PREFIX.length).trim() else value
}

private fun RequestHeaders.wantsStream() = accept().firstOrNull()?.`is`(MediaType.EVENT_STREAM) == true

/**
 * Returns whether [body] is nested more than [MAX_BODY_DEPTH] levels deep.
 *
 * This must run before the parser, which recurses once per level.
 */
private fun isNestedTooDeeply(body: ByteArray): Boolean {
    val gauge = JsonDepthTracker()
    return body.any { gauge.depthAfter(it.toInt().toChar()) > MAX_BODY_DEPTH }
}

private const val BEARER_PREFIX = "Bearer "
private const val HEX_RADIX = 16
private const val MAX_ID_CHARS = 64
private const val MAX_BODY_DEPTH = 64
private val DEADLINE_RANGE_MS = 1L..600_000L
private val NON_REPEATABLE_HEADERS =
    listOf(HttpHeaderNames.of(REQUEST_ID_HEADER), HttpHeaderNames.of(DEADLINE_HEADER), HttpHeaderNames.AUTHORIZATION)
