package io.monsoonpath.app.request

import io.monsoonpath.model.Outcome

/** The answer to a request. */
internal sealed interface Answer {
    /** The whole answer as bytes of JSON. */
    class Whole(
        val body: ByteArray,
    ) : Answer

    /** All [tokenCount] tokens of the answer have been handed to the request's sink. */
    class Streamed(
        val tokenCount: Long,
    ) : Answer
}

/** What follows in the chain. */
internal fun interface Next {
    suspend fun proceed(exchange: Exchange): Outcome<Answer>
}

/** A step of a request's way; it refuses the request, or lets it proceed and sees its outcome. */
internal fun interface Filter {
    suspend fun handle(
        exchange: Exchange,
        next: Next,
    ): Outcome<Answer>
}

/** Joins [filters] in order in front of [last]. */
internal fun chainOf(
    filters: List<Filter>,
    last: Next,
): Next = filters.foldRight(last) { filter, next -> Next { exchange -> filter.handle(exchange, next) } }
