package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.log.DecisionLog
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What one connection of a peer can cost an instance. */
@OptIn(ExperimentalSerializationApi::class)
class PeerTransportTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val received = LinkedBlockingQueue<PeerMessage>()
    private val port = ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }

    init {
        val transport = PeerTransport(group.next() as EventLoop, Address(HOST, port), DecisionLog(ByteArrayOutputStream()))
        transport.addListener(
            object : PeerListener {
                override fun onMessage(
                    from: PeerConnection,
                    message: PeerMessage,
                ) {
                    received += message
                }

                override fun onDisconnect(connection: PeerConnection) = Unit
            },
        )
        transport.start()
    }

    @AfterEach
    fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).sync()
    }

    private class Case(
        val name: String,
        /** The length that the frame announces. */
        val length: Int,
        val content: ByteArray,
    )

    @TestFactory
    fun `a connection ends with a frame that is too long or no message, before it is received`() =
        listOf(
            Case("the shortest frame that is too long", MAX_FRAME_BYTES - LENGTH_BYTES + 1, ByteArray(0)),
            Case("the longest length", Int.MAX_VALUE, ByteArray(0)),
            Case("a negative length", -1, ByteArray(0)),
            Case("an empty frame", 0, ByteArray(0)),
            Case("bytes that are no message", 4, byteArrayOf(1, 2, 3, 4)),
            Case("a message that is cut off", encoded(MESSAGE).size - 1, encoded(MESSAGE).dropLast(1).toByteArray()),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                connect().use { socket ->
                    send(socket, encoded(MESSAGE))
                    assertEquals(MESSAGE, received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS))
                    socket.getOutputStream().write(frame(case.length, case.content))
                    assertTrue(isClosedByPeer(socket), "the connection is still open")
                    assertTrue(received.isEmpty(), "$received")
                }
            }
        }

    @Test
    fun `the longest frame is received`() {
        val length = MAX_FRAME_BYTES - LENGTH_BYTES
        val message = release(2 * length - encoded(release(length)).size)
        connect().use { socket ->
            send(socket, encoded(message).also { assertEquals(length, it.size) })
            assertEquals(message, received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS))
        }
    }

    private fun release(handleLength: Int) = PeerMessage.ReleaseResults("p", listOf("x".repeat(handleLength)))

    private fun encoded(message: PeerMessage) = Cbor.encodeToByteArray<PeerMessage>(message)

    private fun connect() = Socket(HOST, port).apply { soTimeout = TIMEOUT_MS.toInt() }

    private fun send(
        socket: Socket,
        content: ByteArray,
    ) = socket.getOutputStream().write(frame(content.size, content))

    private fun frame(
        length: Int,
        content: ByteArray,
    ): ByteArray {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).apply {
            writeInt(length)
            write(content)
        }
        return bytes.toByteArray()
    }

    private fun isClosedByPeer(socket: Socket): Boolean =
        try {
            socket.getInputStream().read() < 0
        } catch (_: SocketTimeoutException) {
            false
        } catch (_: IOException) {
            true
        }

    private companion object {
        /** An address of its own, so that no outgoing connection of another process takes the port. */
        const val HOST = "127.0.83.1"
        const val TIMEOUT_MS = 5_000L
        const val LENGTH_BYTES = 4

        /** The longest frame, with its length. */
        const val MAX_FRAME_BYTES = 2 * 1024 * 1024
        val MESSAGE = PeerMessage.CancelPieces("r", listOf("p"))
    }
}
