package io.monsoonpath.app.http

import kotlinx.serialization.Serializable

/**
 * An event of an engine's token stream: either a token, or the end of the stream.
 *
 * @property index the index of the token in the answer
 * @property text the text of the token
 * @property count the number of tokens in the whole answer; present only in the end event
 */
@Serializable
internal class EngineEvent(
    val index: Long? = null,
    val text: String? = null,
    val count: Long? = null,
)
