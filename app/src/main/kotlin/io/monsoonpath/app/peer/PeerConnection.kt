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

/**
 * A connection to a peer, which carries the handshake first and then authenticated frames.
 *
 * At most one coroutine may write and at most one may read at a time.
 */
internal class PeerConnection(
    private val socket: Socket,
    private val counters: PeerCounters,
) : AutoCloseable {
    private val input: ByteReadChannel = socket.openReadChannel()
    private val output: ByteWriteChannel = socket.openWriteChannel()
    private lateinit var sendAuthenticator: FrameAuthenticator
    private lateinit var receiveAuthenticator: FrameAuthenticator

    /** The session that the handshake established; must not be read before the handshake has succeeded. */
    lateinit var session: Session
        private set

    /** Runs the connecting side of the handshake with the instance [expectedId]. */
    suspend fun connect(
        handshake: Handshake,
        expectedId: String,
    ) = withTimeout(HANDSHAKE_TIMEOUT_MS) {
        val hello = handshake.hello()
        writeMessage(Hello.serializer(), hello)
        val (session, proof) = handshake.verifyAnswer(hello, readMessage(HelloAnswer.serializer()), expectedId)
        writeMessage(Proof.serializer(), proof)
        startSession(session)
    }

    /** Runs the accepting side of the handshake. */
    suspend fun accept(handshake: Handshake) =
        withTimeout(HANDSHAKE_TIMEOUT_MS) {
            val hello = readMessage(Hello.serializer())
            val answer = handshake.answer(hello)
            writeMessage(HelloAnswer.serializer(), answer)
            when (answer) {
                is HelloAnswer.Refuse -> throw PeerRefusedException("refused the connection from ${hello.id.id}: ${answer.reason}")
                is HelloAnswer.Accept -> startSession(handshake.verifyProof(hello, answer, readMessage(Proof.serializer())))
            }
        }

    /**
     * Writes a frame with [payload].
     *
     * Throws if the peer does not receive it within [WRITE_TIMEOUT_MS]; the connection must be closed then.
     */
    suspend fun writeFrame(payload: ByteArray) =
        withTimeout(WRITE_TIMEOUT_MS) {
            output.writeInt(payload.size)
            output.writeFully(sendAuthenticator.sign(payload))
            output.writeFully(payload)
            output.flush()
            counters.sentFrames.increment()
            counters.sentBytes.add(FRAME_HEADER_BYTES + payload.size)
        }

    /**
     * Reads the payload of the next frame.
     *
     * @throws MalformedFrameException if the length of the frame is out of range or its MAC does not match
     */
    suspend fun readFrame(): ByteArray {
        val length = input.readInt()
        if (length !in 1..MAX_PAYLOAD_BYTES) throw MalformedFrameException("invalid frame payload length: $length")
        val mac = input.readByteArray(MAC_BYTES)
        val payload = input.readByteArray(length)
        receiveAuthenticator.verify(mac, payload)
        counters.receivedBytes.add(FRAME_HEADER_BYTES + length)
        return payload
    }

    private fun startSession(newSession: Session) {
        sendAuthenticator = FrameAuthenticator(newSession.sendKey)
        receiveAuthenticator = FrameAuthenticator(newSession.receiveKey)
        session = newSession
    }

    @OptIn(ExperimentalSerializationApi::class)
    private suspend fun <T> writeMessage(
        serializer: KSerializer<T>,
        message: T,
    ) {
        val bytes = PeerCbor.encodeToByteArray(serializer, message)
        output.writeInt(bytes.size)
        output.writeFully(bytes)
        output.flush()
    }

    private suspend fun <T> readMessage(serializer: KSerializer<T>): T {
        val length = input.readInt()
        if (length !in 1..MAX_HANDSHAKE_MESSAGE_BYTES) throw MalformedFrameException("invalid handshake message length: $length")
        val bytes = input.readByteArray(length)
        requireBoundedCbor(bytes)
        return decodeChecked(serializer, bytes)
    }

    override fun close() {
        socket.close()
    }

    private companion object {
        const val HANDSHAKE_TIMEOUT_MS = 2_000L
        const val WRITE_TIMEOUT_MS = 5_000L
        const val MAX_HANDSHAKE_MESSAGE_BYTES = 1_024
        const val FRAME_HEADER_BYTES = Int.SIZE_BYTES + MAC_BYTES.toLong()
    }
}
