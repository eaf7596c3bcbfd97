package io.monsoonpath.policy.backend

import kotlin.math.ceil

/** The decoded value of a `Retry-After` header of a backend server. */
sealed interface RetryAfter {
    /** The server wants no requests for [waitMs] milliseconds; [isCapped] if it stated a longer time than [MAX_RETRY_AFTER_MS]. */
    data class Wait(
        val waitMs: Long,
        val isCapped: Boolean = false,
    ) : RetryAfter

    /** The value states no number of seconds, and is ignored. */
    data object Invalid : RetryAfter
}

/** The longest time that a `Retry-After` header keeps requests from a server, in milliseconds. */
const val MAX_RETRY_AFTER_MS = 3_600_000L

/**
 * Decodes [text] as a number of seconds, which may have a fraction or an exponent. Longer times than [MAX_RETRY_AFTER_MS] are capped.
 *
 * Dates are invalid: the clocks of backend servers are not comparable with that of this process.
 */
fun parseRetryAfter(text: String): RetryAfter {
    val trimmed = text.trim()
    if (!SECONDS.matches(trimmed)) return RetryAfter.Invalid
    val waitMs = ceil(trimmed.toDouble() * MS_PER_S)
    return if (waitMs > MAX_RETRY_AFTER_MS) RetryAfter.Wait(MAX_RETRY_AFTER_MS, isCapped = true) else RetryAfter.Wait(waitMs.toLong())
}

private val SECONDS = Regex("""(\d{1,20}(\.\d{0,20})?|\.\d{1,20})([eE][+-]?\d{1,3})?""")
private const val MS_PER_S = 1_000.0
