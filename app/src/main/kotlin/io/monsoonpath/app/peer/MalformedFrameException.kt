package io.monsoonpath.app.peer

/** Thrown for bytes from a peer that do not follow the protocol. */
internal class MalformedFrameException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** @throws MalformedFrameException with [message] unless [condition] */
internal inline fun requireWellFormed(
    condition: Boolean,
    message: () -> String,
) {
    if (!condition) throw MalformedFrameException(message())
}
