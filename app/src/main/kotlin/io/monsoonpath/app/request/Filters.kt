package io.monsoonpath.app.request

import io.monsoonpath.model.Outcome

/** The whole answer to a request, as bytes of JSON. */
internal class Answer(
    val body: ByteArray,
)

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
