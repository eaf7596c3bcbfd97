package io.monsoonpath.app.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.InstanceId
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeout
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/** Receives the messages of peers; implementations must neither block nor throw. */
internal fun interface PeerReceiver {
    /** Handles [message] from the process [from]. */
    fun receive(
        from: PeerId,
        message: PeerMessage,
    )
}

/**
 * Sends and receives messages between this process and its peers over authenticated connections.
 *
 * A connection is opened when the first message to a peer is sent, and is used in both directions. Messages may be lost; those
 * that arrive over one connection arrive in order. Sending never blocks.
 *
 * @param addressOf returns the address on which an instance listens, or null if the instance is unknown
 * @param isReachable returns whether messages to and from an instance get through; tests simulate network partitions with it
 */
internal class PeerTransport(
    private val self: PeerId,
    private val listen: Endpoint,
    secrets: PeerSecrets,
    private val events: EventSink,
    private val addressOf: (InstanceId) -> Endpoint?,
    private val receiver: PeerReceiver,
    private val isReachable: (InstanceId) -> Boolean = { true },
) : AutoCloseable {
    private class Peer(
        val id: InstanceId,
        val queue: OutboundQueue,
    ) {
        @Volatile
        var connection: PeerConnection? = null
        var nextSeq = 1L
        var failures = 0
    }

    private val log = KotlinLogging.logger {}
    private val handshake = Handshake(self, secrets)
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val peers = ConcurrentHashMap<InstanceId, Peer>()
    private val handshakePermits = Semaphore(MAX_HANDSHAKES)
    private lateinit var server: ServerSocket

    /** The counters of messages, bytes and failures since the start. */
    val counters = PeerCounters()

    /** The port on which this process listens for peers. */
    val port: Int get() = (server.localAddress as InetSocketAddress).port

    /** Starts listening for peers. */
    fun start() {
        server = runBlocking { aSocket(selector).tcp().bind(listen.host, listen.port) }
        scope.launch { acceptConnections() }
    }

    /** Sends [message] to the process that currently runs as the instance [to]; the message may be lost. */
    fun send(
        to: InstanceId,
        message: PeerMessage,
    ) = peerOf(to).queue.offer(message)

    override fun close() {
        scope.cancel()
        server.close()
        peers.values.forEach { it.connection?.close() }
        selector.close()
    }

    private fun peerOf(id: InstanceId): Peer =
        peers.computeIfAbsent(id) { Peer(it, OutboundQueue(counters)).also { peer -> scope.launch { sendMessages(peer) } } }

    private suspend fun acceptConnections() {
        while (true) {
            val socket = server.accept()
            if (handshakePermits.tryAcquire()) scope.launch { acceptConnection(socket) } else socket.close()
        }
    }

    private suspend fun acceptConnection(socket: Socket) {
        val connection = PeerConnection(socket, counters)
        val isAccepted =
            try {
                connection.accept(handshake)
                true
            } catch (e: Exception) {
                recordFailure("cannot accept a peer connection", e)
                false
            } finally {
                handshakePermits.release()
            }
        if (isAccepted) receiveMessages(peerOf(connection.session.peer.id), connection) else connection.close()
    }

    /** Reads messages from [connection] and dispatches them, until the connection fails or is closed. */
    private suspend fun receiveMessages(
        peer: Peer,
        connection: PeerConnection,
    ) {
        peer.connection = connection
        peer.failures = 0
        try {
            while (true) dispatch(connection.session.peer, decodeBatch(connection.readFrame()))
        } catch (e: Exception) {
            recordFailure("lost the connection to ${peer.id}", e)
        } finally {
            if (peer.connection === connection) peer.connection = null
            connection.close()
        }
    }

    private fun dispatch(
        from: PeerId,
        batch: MessageBatch,
    ) {
        if (!isReachable(from.id)) return
        batch.messages.forEachIndexed { i, message ->
            when (val decoded = decodeMessage(message.bytes)) {
                is DecodedMessage.Unknown -> counters.unknownMessageKinds.increment()
                is DecodedMessage.Known -> {
                    counters.receivedMessages.increment()
                    events.emit(Event.MessageReceived(from.id, from.incarnation, batch.firstSeq + i, decoded.kind))
                    receiver.receive(from, decoded.message)
                }
            }
        }
    }

    private suspend fun sendMessages(peer: Peer) {
        while (true) {
            val batch = peer.queue.takeBatch()
            val connection = if (isReachable(peer.id)) connectionTo(peer) else null
            if (connection == null || !sendBatch(peer, connection, batch)) {
                counters.droppedMessages.add(batch.size.toLong())
                peer.queue.dropAll()
            }
        }
    }

    private suspend fun sendBatch(
        peer: Peer,
        connection: PeerConnection,
        batch: List<EncodedMessage>,
    ): Boolean =
        try {
            val firstSeq = peer.nextSeq
            peer.nextSeq += batch.size
            connection.writeFrame(encodeBatch(firstSeq, batch))
            batch.forEachIndexed { i, message -> events.emit(Event.MessageSent(peer.id, firstSeq + i, message.kind)) }
            counters.sentMessages.add(batch.size.toLong())
            true
        } catch (e: Exception) {
            recordFailure("cannot send messages to ${peer.id}", e)
            connection.close()
            if (peer.connection === connection) peer.connection = null
            false
        }

    /** Returns the connection to [peer], after opening one if there is none, or null if the peer is unknown or unreachable. */
    private suspend fun connectionTo(peer: Peer): PeerConnection? {
        peer.connection?.let { return it }
        val address = addressOf(peer.id) ?: return null
        return try {
            val connection = openConnection(address, peer.id)
            peer.connection = connection
            scope.launch { receiveMessages(peer, connection) }
            connection
        } catch (e: Exception) {
            recordFailure("cannot connect to ${peer.id}", e)
            delay(backoffMs(peer.failures++))
            null
        }
    }

    private suspend fun openConnection(
        address: Endpoint,
        id: InstanceId,
    ): PeerConnection {
        val socket = withTimeout(CONNECT_TIMEOUT_MS) { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
        val connection = PeerConnection(socket, counters)
        try {
            connection.connect(handshake, id.value)
            return connection
        } catch (e: Exception) {
            connection.close()
            throw e
        }
    }

    private fun backoffMs(failures: Int): Long {
        val ceilingMs = (MIN_BACKOFF_MS shl failures.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_MS)
        return ceilingMs / 2 + Random.nextLong(ceilingMs / 2 + 1)
    }

    private fun recordFailure(
        what: String,
        cause: Exception,
    ) {
        if (cause is CancellationException && !scopeIsActive()) throw cause
        when (cause) {
            is PeerRefusedException -> counters.refusedHandshakes.increment()
            is MalformedFrameException -> counters.malformedFrames.increment()
        }
        log.debug { "$what: ${cause.message ?: cause.javaClass.simpleName}" }
    }

    private fun scopeIsActive() = scope.coroutineContext[Job]?.isActive == true

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MIN_BACKOFF_MS = 20L
        const val MAX_BACKOFF_MS = 500L
        const val MAX_DOUBLINGS = 5
        const val MAX_HANDSHAKES = 256
    }
}
