package io.monsoonpath.gateway.http

/** Returns whether [value] can be sent in a header as it is: printable ASCII of at most [MAX_VALUE_CHARS], with no space at its ends. */
fun isHeaderValue(value: String): Boolean =
    value.length in 1..MAX_VALUE_CHARS && value.all { it in ' '..'~' } && value.first() != ' ' && value.last() != ' '

/** Returns whether [value] can be sent in a header as an element of a list that is separated by commas. */
fun isHeaderListElement(value: String): Boolean = isHeaderValue(value) && ',' !in value && ' ' !in value

/** Ids, names and handles have some thirty characters, and keys of the store at most 200. */
private const val MAX_VALUE_CHARS = 256
