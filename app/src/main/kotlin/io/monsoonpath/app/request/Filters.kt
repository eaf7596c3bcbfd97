package io.monsoonpath.app.request

import io.monsoonpath.model.Outcome

/** The answer to a request. */
internal sealed interface Answer {
    /** A complete answer as JSON bytes. */
    class Buffered(
        val body: ByteArray,
    ) : Answer

    /** An answer whose [tokenCount] tokens have all been passed to the token sink of the request. */
    class Streamed(
        val tokenCount: Long,
    ) : Answer
}

/** Handles a request: the rest of the filter chain with the pipeline at its end. */
internal fun interface RequestHandler {
    suspend fun handle(exchange: Exchange): Outcome<Answer>
}

/** A step in the processing of a request. A filter refuses the request, or passes it to the next handler and observes the outcome. */
internal fun interface Filter {
    suspend fun handle(
        exchange: Exchange,
        next: RequestHandler,
    ): Outcome<Answer>
}

/** Returns a handler that passes each request through [filters] in order and then to [last]. */
internal fun chainOf(
    filters: List<Filter>,
    last: RequestHandler,
): RequestHandler = filters.foldRight(last) { filter, next -> RequestHandler { exchange -> filter.handle(exchange, next) } }
