package io.monsoonpath.app.peer

/** Thrown when bytes from a peer violate the protocol. */
internal class MalformedFrameException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** @throws MalformedFrameException with the result of [message] if [condition] is `false` */
internal inline fun requireWellFormed(
    condition: Boolean,
    message: () -> String,
) {
    if (!condition) throw MalformedFrameException(message())
}
