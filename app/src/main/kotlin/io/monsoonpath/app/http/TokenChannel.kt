package io.monsoonpath.app.http

import io.monsoonpath.app.request.Token
import io.monsoonpath.app.request.TokenSink
import kotlinx.coroutines.channels.Channel

/** Hands tokens from the pipeline to the caller's response; at most one of them waits. */
internal class TokenChannel : TokenSink {
    private val channel = Channel<Token>(Channel.RENDEZVOUS)

    override suspend fun emit(token: Token): Unit = channel.send(token)

    /** Returns the next token, or null when no more will come. */
    suspend fun nextOrNull(): Token? = channel.receiveCatching().getOrNull()

    /** Notes that no more tokens will come. */
    fun close() {
        channel.close()
    }
}
