package io.monsoonpath.app.peer

/** Thrown for bytes from a peer that do not follow the protocol. */
internal class MalformedFrameException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** @throws MalformedFrameException with [message] unless [holds] */
internal inline fun requireWellFormed(
    holds: Boolean,
    message: () -> String,
) {
    if (!holds) throw MalformedFrameException(message())
}
