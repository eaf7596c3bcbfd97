package io.monsoonpath.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory
import io.netty.handler.codec.http.TooLongHttpHeaderException

/** Thrown while a head is decoded for whose fields the budget has no memory. */
internal class BudgetExceededException : RuntimeException("the memory for requests is used up") {
    override fun fillInStackTrace(): Throwable = this
}

/**
 * Creates headers that call [charge] before each field is added: a field of two characters takes a hundred times as much memory.
 *
 * @param charge returns whether a number of bytes may be held
 */
internal class CallerHeadersFactory(
    private val validation: DefaultHttpHeadersFactory,
    private val maxFields: Int,
    private val charge: (Long) -> Boolean,
) : HttpHeadersFactory {
    override fun newHeaders(): HttpHeaders = CallerHeaders(validation, maxFields, charge)

    override fun newEmptyHeaders(): HttpHeaders = CallerHeaders(validation, maxFields, charge)
}

/** The fields of a head, or the trailing ones of a body, of which there may be [maxFields]. */
internal class CallerHeaders(
    validation: DefaultHttpHeadersFactory,
    private val maxFields: Int,
    private val charge: (Long) -> Boolean,
) : DefaultHttpHeaders(validation.nameValidator, validation.valueValidator) {
    /** The bytes that were charged for the fields. */
    var chargedBytes = 0L
        private set

    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        if (size() >= maxFields) throw TooLongHttpHeaderException("there are more than $maxFields header fields")
        val bytes = FIELD_BYTES + name.length + value.toString().length
        if (!charge(bytes)) throw BudgetExceededException()
        chargedBytes += bytes
        return super.add(name, value)
    }

    companion object {
        /** The bytes of the shortest field: a name of one character, a colon and the end of the line. */
        private const val MIN_FIELD_BYTES = 4

        /** Returns the number of fields that fit into a head of [maxHeaderBytes], so that no head within that size has too many. */
        fun maxFields(maxHeaderBytes: Int): Int = maxHeaderBytes / MIN_FIELD_BYTES

        /** The objects of one field: the entry, the name, the value and their arrays. */
        const val FIELD_BYTES = 200L
    }
}
