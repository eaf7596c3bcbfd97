package io.monsoonpath.app.request

import io.monsoonpath.model.Outcome

/** The answer to a request. */
internal sealed interface Answer {
    /** The whole answer as bytes of JSON. */
    class Buffered(
        val body: ByteArray,
    ) : Answer

    /** All [tokenCount] tokens of the answer have been handed to the request's sink. */
    class Streamed(
        val tokenCount: Long,
    ) : Answer
}

/** What follows in the chain. */
internal fun interface RequestHandler {
    suspend fun handle(exchange: Exchange): Outcome<Answer>
}

/** A step of a request's way; it refuses the request, or lets it handle and sees its outcome. */
internal fun interface Filter {
    suspend fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): Outcome<Answer>
}

/** Joins [filters] in order in front of [last]. */
internal fun chainOf(
    filters: List<Filter>,
    last: RequestHandler,
): RequestHandler = filters.foldRight(last) { filter, next -> RequestHandler { exchange -> filter.handle(exchange, next) } }
