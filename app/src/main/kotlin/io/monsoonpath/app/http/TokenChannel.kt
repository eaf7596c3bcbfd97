package io.monsoonpath.app.http

import io.monsoonpath.app.request.Token
import io.monsoonpath.app.request.TokenSink
import kotlinx.coroutines.channels.Channel

/** Passes tokens from the pipeline to the caller's response without a buffer: at most one token waits to be received. */
internal class TokenChannel : TokenSink {
    private val channel = Channel<Token>(Channel.RENDEZVOUS)

    override suspend fun emit(token: Token): Unit = channel.send(token)

    /** Waits for the next token and returns it, or returns null if the channel is closed. */
    suspend fun nextOrNull(): Token? = channel.receiveCatching().getOrNull()

    /** Closes the channel: no more tokens follow. */
    fun close() {
        channel.close()
    }
}
