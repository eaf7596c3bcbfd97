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

/** Takes the messages that arrive; implementations neither block nor throw. */
internal fun interface PeerReceiver {
    /** Takes [message] of the process [from]. */
    fun receive(
        from: PeerId,
        message: PeerMessage,
    )
}

/**
 * Carries messages between this process and its peers over authenticated connections.
 *
 * A connection is opened when the first message for a peer is sent, and serves both directions. Messages may be lost; those of one
 * connection arrive in order. Sending never waits.
 *
 * @param addressOf where an instance listens, or null if it is unknown
 * @param reaches whether messages to and from an instance pass; tests cut links with it
 */
internal class PeerTransport(
    private val self: PeerId,
    private val listen: Endpoint,
    secrets: PeerSecrets,
    private val events: EventSink,
    private val addressOf: (InstanceId) -> Endpoint?,
    private val receiver: PeerReceiver,
    private val reaches: (InstanceId) -> Boolean = { true },
) : AutoCloseable {
    private class Peer(
        val id: InstanceId,
        val queue: PeerQueue,
    ) {
        @Volatile
        var link: PeerLink? = null
        var nextSeq = 1L
        var failures = 0
    }

    private val log = KotlinLogging.logger {}
    private val handshake = Handshake(self, secrets)
    private val selector = SelectorManager(Dispatchers.IO)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val peers = ConcurrentHashMap<InstanceId, Peer>()
    private val handshakes = Semaphore(MAX_HANDSHAKES)
    private lateinit var server: ServerSocket

    /** What was carried and dropped so far. */
    val counters = PeerCounters()

    /** The port on which peers connect. */
    val port: Int get() = (server.localAddress as InetSocketAddress).port

    /** Starts listening. */
    fun start() {
        server = runBlocking { aSocket(selector).tcp().bind(listen.host, listen.port) }
        scope.launch { acceptAll() }
    }

    /** Sends [message] to the process that now runs as [to]; it may be lost. */
    fun send(
        to: InstanceId,
        message: PeerMessage,
    ) = peerOf(to).queue.offer(message)

    override fun close() {
        scope.cancel()
        server.close()
        peers.values.forEach { it.link?.close() }
        selector.close()
    }

    private fun peerOf(id: InstanceId): Peer =
        peers.computeIfAbsent(id) { Peer(it, PeerQueue(counters)).also { peer -> scope.launch { writeAll(peer) } } }

    private suspend fun acceptAll() {
        while (true) {
            val socket = server.accept()
            if (handshakes.tryAcquire()) scope.launch { acceptOne(socket) } else socket.close()
        }
    }

    private suspend fun acceptOne(socket: Socket) {
        val link = PeerLink(socket, counters)
        val isAccepted =
            try {
                link.accept(handshake)
                true
            } catch (e: Exception) {
                noteFailure("a connection was not accepted", e)
                false
            } finally {
                handshakes.release()
            }
        if (isAccepted) serve(peerOf(link.session.peer.id), link) else link.close()
    }

    /** Reads from [link] until it ends. */
    private suspend fun serve(
        peer: Peer,
        link: PeerLink,
    ) {
        peer.link = link
        peer.failures = 0
        try {
            while (true) deliver(link.session.peer, decodeBatch(link.readFrame()))
        } catch (e: Exception) {
            noteFailure("the connection to ${peer.id} ended", e)
        } finally {
            if (peer.link === link) peer.link = null
            link.close()
        }
    }

    private fun deliver(
        from: PeerId,
        batch: MessageBatch,
    ) {
        if (!reaches(from.id)) return
        batch.messages.forEachIndexed { i, message ->
            when (val decoded = decodeMessage(message.bytes)) {
                is DecodedMessage.Unknown -> counters.unknownKinds.increment()
                is DecodedMessage.Known -> {
                    counters.receivedMessages.increment()
                    events.emit(Event.MessageReceived(from.id, from.incarnation, batch.firstSeq + i, decoded.kind))
                    receiver.receive(from, decoded.message)
                }
            }
        }
    }

    private suspend fun writeAll(peer: Peer) {
        while (true) {
            val batch = peer.queue.takeBatch()
            val link = if (reaches(peer.id)) linkTo(peer) else null
            if (link == null || !write(peer, link, batch)) {
                counters.dropped.add(batch.size.toLong())
                peer.queue.dropAll()
            }
        }
    }

    private suspend fun write(
        peer: Peer,
        link: PeerLink,
        batch: List<EncodedMessage>,
    ): Boolean =
        try {
            val firstSeq = peer.nextSeq
            peer.nextSeq += batch.size
            link.writeFrame(encodeBatch(firstSeq, batch))
            batch.forEachIndexed { i, message -> events.emit(Event.MessageSent(peer.id, firstSeq + i, message.kind)) }
            counters.sentMessages.add(batch.size.toLong())
            true
        } catch (e: Exception) {
            noteFailure("${peer.id} does not take messages", e)
            link.close()
            if (peer.link === link) peer.link = null
            false
        }

    /** Returns the connection to [peer], opening one if there is none; null if it cannot be reached. */
    private suspend fun linkTo(peer: Peer): PeerLink? {
        peer.link?.let { return it }
        val address = addressOf(peer.id) ?: return null
        return try {
            val link = open(address, peer.id)
            peer.link = link
            scope.launch { serve(peer, link) }
            link
        } catch (e: Exception) {
            noteFailure("${peer.id} cannot be reached", e)
            delay(backOffMs(peer.failures++))
            null
        }
    }

    private suspend fun open(
        address: Endpoint,
        id: InstanceId,
    ): PeerLink {
        val socket = withTimeout(CONNECT_TIMEOUT_MS) { aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true } }
        val link = PeerLink(socket, counters)
        try {
            link.connect(handshake, id.value)
            return link
        } catch (e: Exception) {
            link.close()
            throw e
        }
    }

    private fun backOffMs(failures: Int): Long {
        val ceilingMs = (MIN_BACK_OFF_MS shl failures.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(MAX_BACK_OFF_MS)
        return ceilingMs / 2 + Random.nextLong(ceilingMs / 2 + 1)
    }

    private fun noteFailure(
        what: String,
        cause: Exception,
    ) {
        if (cause is CancellationException && !scopeIsActive()) throw cause
        when (cause) {
            is PeerRefusedException -> counters.refusals.increment()
            is MalformedFrameException -> counters.malformedFrames.increment()
        }
        log.debug { "$what: ${cause.message ?: cause.javaClass.simpleName}" }
    }

    private fun scopeIsActive() = scope.coroutineContext[Job]?.isActive == true

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MIN_BACK_OFF_MS = 20L
        const val MAX_BACK_OFF_MS = 500L
        const val MAX_DOUBLINGS = 5
        const val MAX_HANDSHAKES = 256
    }
}
