package io.monsoonpath.app.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer

/** A connection to a peer: handshake messages first, then protected frames. One coroutine writes, one reads. */
internal class PeerLink(
    private val socket: Socket,
    private val counters: PeerCounters,
) : AutoCloseable {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel()
    private lateinit var sealer: FrameCodec
    private lateinit var opener: FrameCodec

    /** The authenticated session. */
    lateinit var session: Session
        private set

    /** Runs the handshake of the connecting side with [expected]. */
    suspend fun connect(
        handshake: Handshake,
        expected: String,
    ) = withTimeout(HANDSHAKE_TIMEOUT_MS) {
        val hello = handshake.hello()
        write(Hello.serializer(), hello)
        val (session, proof) = handshake.verifyAnswer(hello, read(HelloAnswer.serializer()), expected)
        write(Proof.serializer(), proof)
        begin(session)
    }

    /** Runs the handshake of the accepting side. */
    suspend fun accept(handshake: Handshake) =
        withTimeout(HANDSHAKE_TIMEOUT_MS) {
            val hello = read(Hello.serializer())
            val answer = handshake.answer(hello)
            write(HelloAnswer.serializer(), answer)
            when (answer) {
                is HelloAnswer.Refuse -> throw PeerRefusedException("${hello.id.id} is refused: ${answer.reason}")
                is HelloAnswer.Accept -> begin(handshake.verifyProof(hello, answer, read(Proof.serializer())))
            }
        }

    /** Writes a frame with [payload]; a peer that does not take it within [WRITE_TIMEOUT_MS] loses the connection. */
    suspend fun writeFrame(payload: ByteArray) =
        withTimeout(WRITE_TIMEOUT_MS) {
            output.writeInt(payload.size)
            output.writeFully(sealer.seal(payload))
            output.writeFully(payload)
            output.flush()
            counters.sentFrames.increment()
            counters.sentBytes.add(HEADER_BYTES + payload.size)
        }

    /**
     * Reads the payload of the next frame.
     *
     * @throws MalformedFrameException if the frame is too long or does not pass its check
     */
    suspend fun readFrame(): ByteArray {
        val length = input.readInt()
        if (length !in 1..MAX_PAYLOAD_BYTES) throw MalformedFrameException("a frame of $length bytes was announced")
        val code = input.readByteArray(CODE_BYTES)
        val payload = input.readByteArray(length)
        opener.open(code, payload)
        counters.receivedBytes.add(HEADER_BYTES + length)
        return payload
    }

    private fun begin(newSession: Session) {
        sealer = FrameCodec(newSession.sendKey)
        opener = FrameCodec(newSession.receiveKey)
        session = newSession
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun <T> write(
        serializer: KSerializer<T>,
        message: T,
    ) {
        val bytes = PeerCbor.encodeToByteArray(serializer, message)
        output.writeInt(bytes.size)
        output.writeFully(bytes)
        output.flush()
    }

    private suspend fun <T> read(serializer: KSerializer<T>): T {
        val length = input.readInt()
        if (length !in 1..MAX_HANDSHAKE_BYTES) throw MalformedFrameException("a handshake message of $length bytes was announced")
        val bytes = input.readByteArray(length)
        requireBoundedCbor(bytes)
        return decodeBounded(serializer, bytes)
    }

    override fun close() {
        socket.close()
    }

    private companion object {
        const val HANDSHAKE_TIMEOUT_MS = 2_000L
        const val WRITE_TIMEOUT_MS = 5_000L
        const val MAX_HANDSHAKE_BYTES = 1_024
        const val HEADER_BYTES = Int.SIZE_BYTES + CODE_BYTES.toLong()
    }
}
