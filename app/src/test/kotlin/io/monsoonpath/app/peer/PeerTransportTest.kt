package io.monsoonpath.app.peer

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.ChunkBytes
import io.monsoonpath.coordination.message.ChunksReply
import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.RevisionsRequest
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.Event
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class PeerTransportTest {
    private inner class TestPeer(
        name: String,
        incarnation: Long = 1,
        secret: String = SECRET,
        val isKnown: Boolean = true,
    ) {
        val id = InstanceId(name)
        val received = LinkedBlockingQueue<Pair<PeerId, PeerMessage>>()
        val events = CopyOnWriteArrayList<Event>()
        val transport =
            PeerTransport(
                self = PeerId(id, Incarnation(incarnation)),
                listen = Endpoint("127.0.0.1", 0),
                secrets = PeerSecrets(listOf(secret.toByteArray())),
                events = { events += it },
                addressOf = { addresses[it] },
                receiver = { from, message -> received += from to message },
            ).also { it.start() }

        init {
            if (isKnown) addresses[id] = Endpoint("127.0.0.1", transport.port)
            open += transport
        }

        fun next(): Pair<PeerId, PeerMessage>? = received.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private val addresses = ConcurrentHashMap<InstanceId, Endpoint>()
    private val open = mutableListOf<AutoCloseable>()

    @AfterTest
    fun closeAll() = open.forEach { it.close() }

    @Test
    fun `messages arrive in order with the sender's identity and their sequence numbers`() {
        val a = TestPeer("a", incarnation = 11)
        val b = TestPeer("b")
        repeat(100) { a.transport.send(b.id, message(it)) }
        repeat(100) { assertEquals(PeerId(a.id, Incarnation(11)) to message(it), b.next()) }
        val sent = a.events.filterIsInstance<Event.MessageSent>().map { it.messageSeq }
        assertEquals(b.events.filterIsInstance<Event.MessageReceived>().map { it.messageSeq }, (1L..100L).toList())
        assertEquals(sent, sent.sorted())
    }

    @Test
    fun `a process without a known address gets its answer over the connection that it opened`() {
        val a = TestPeer("a", isKnown = false)
        val b = TestPeer("b")
        a.transport.send(b.id, message(1))
        assertNotNull(b.next())
        b.transport.send(a.id, message(2))
        assertEquals(message(2), a.next()?.second)
    }

    @Test
    fun `a restarted peer receives messages again`() {
        val a = TestPeer("a")
        val b = TestPeer("b")
        a.transport.send(b.id, message(1))
        assertNotNull(b.next())
        b.transport.close()
        val restarted = TestPeer("b", incarnation = 2)
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS)
        var arrived: Pair<PeerId, PeerMessage>? = null
        while (arrived == null && System.nanoTime() < deadline) {
            a.transport.send(b.id, message(2))
            arrived = restarted.received.poll(20, TimeUnit.MILLISECONDS)
        }
        assertEquals(message(2), arrived?.second)
    }

    @Test
    fun `a peer without the secret receives nothing`() {
        val a = TestPeer("a")
        val b = TestPeer("b", secret = "quite another secret")
        a.transport.send(b.id, message(1))
        awaitTrue {
            a.transport.counters.refusedHandshakes
                .sum() > 0
        }
        assertNull(b.received.poll())
        awaitTrue {
            a.transport.counters.droppedMessages
                .sum() == 1L
        }
    }

    @Test
    fun `a peer that reads nothing neither blocks the sender nor takes unbounded memory`() {
        val a = TestPeer("a")
        val silent = ServerSocket(0).also { open += it }
        val id = InstanceId("silent")
        addresses[id] = Endpoint("127.0.0.1", silent.localPort)
        val large = ChunksReply(0, listOf(ChunkBytes(ByteArray(100_000))))
        repeat(1_000) { a.transport.send(id, large) }
        assertTrue(
            a.transport.counters.droppedMessages
                .sum() >= 900,
            "dropped only ${a.transport.counters.droppedMessages.sum()}",
        )
        val b = TestPeer("b")
        a.transport.send(b.id, message(1))
        assertNotNull(b.next())
    }

    private fun message(number: Int) = RevisionsRequest(number.toLong(), HeldRevisions(1, 1))

    private fun awaitTrue(condition: () -> Boolean) {
        val deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS)
        while (!condition()) {
            check(System.nanoTime() < deadline) { "the condition was not met within $TIMEOUT_MS ms" }
            Thread.onSpinWait()
        }
    }

    private companion object {
        const val SECRET = "the secret of this fleet"
        const val TIMEOUT_MS = 5_000L
    }
}
