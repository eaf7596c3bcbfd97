package io.monsoonpath.app.http

import kotlinx.serialization.Serializable

/** An event of an engine's token stream: a token, or the end with the count of all tokens. */
@Serializable
internal class EngineEvent(
    val index: Long? = null,
    val text: String? = null,
    val count: Long? = null,
)
