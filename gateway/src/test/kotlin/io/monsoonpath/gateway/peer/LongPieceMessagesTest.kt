package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.message.decodeCborOrNull
import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.stage.Backlogs
import io.monsoonpath.gateway.stage.BatchOutcome
import io.monsoonpath.gateway.stage.BatchSender
import io.monsoonpath.gateway.stage.LocalPieceExecutor
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceFailure
import io.monsoonpath.gateway.stage.PieceId
import io.monsoonpath.gateway.stage.PieceInput
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.policy.backend.BackendNotices
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertSame
import kotlin.test.assertTrue

/** Guards against requests of legal size whose messages between instances are a thousand times as long, and end processes. */
@OptIn(ExperimentalSerializationApi::class)
class LongPieceMessagesTest {
    private class Case(
        val name: String,
        val requests: Int = 1,
        val pieces: Int = 1_000,
        val idChars: Int = 16,
        val input: PieceInput = PieceInput.Key("k"),
    ) {
        /** What a caller or the workers have sent of it, and the numbers of each piece. */
        val maxBytes: Int = requests * (idChars + textsOf(input).sumOf { it.length + 3 } + pieces * NUMBERS_BYTES) + OTHER_BYTES

        fun list(): List<Piece> =
            (1..requests).flatMap { number ->
                val request = RequestId("$number".padEnd(idChars, 'r'))
                List(pieces) { Piece(PieceId(request, 0, it), POOL, input, 1, null, latestStartMs = 1_000, expiresAtMs = 2_000) }
            }

        private fun textsOf(input: PieceInput): List<String> =
            when (input) {
                is PieceInput.Key -> listOf(input.key)
                is PieceInput.Results -> input.handles
            }
    }

    private val cases =
        listOf(
            Case("an ordinary request", pieces = 20),
            Case("a long key", input = PieceInput.Key("k".repeat(15_000))),
            Case("a long id", idChars = 15_000),
            Case("many long handles", pieces = 500, input = PieceInput.Results(List(500) { "$it".padEnd(256, 'h') })),
            Case("many requests at once", requests = 400, pieces = 20),
            Case("many requests with long keys", requests = 20, pieces = 100, input = PieceInput.Key("k".repeat(15_000))),
        )

    @TestFactory
    fun `messages for the pieces of a request are not much longer than the request`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val channel = EmbeddedChannel()
                executorOver(channel).execute(case.list()) { _, _ -> }
                val frames = generateSequence { channel.readOutbound<ByteBuf>() }.map { ByteBufUtil.getBytes(it) }.toList()
                assertTrue(frames.sumOf { it.size } <= case.maxBytes, "${frames.sumOf { it.size }} bytes, ${case.maxBytes} allowed")
                assertTrue(frames.all { it.size <= MAX_MESSAGE_BYTES }, "a message has ${frames.maxOf { it.size }} bytes")
                val received = frames.map { decodeCborOrNull<PeerMessage>(it) as PeerMessage.ExecutePieces }.flatMap { it.completePieces }
                assertEquals(case.list().map(::specOf).toSet(), received.toSet())
            }
        }

    @TestFactory
    fun `reports on the pieces of a request are not much longer than the request`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val reports = case.list().map { PieceReport(it.id.request.value, 0, it.id.segment, failure = PieceFailure.LATE) }
                val frames = reportPieces("p", 5, reports, listOf(1, 2)).map { Cbor.encodeToByteArray<PeerMessage>(it) }
                assertTrue(frames.sumOf { it.size } <= case.maxBytes, "${frames.sumOf { it.size }} bytes, ${case.maxBytes} allowed")
                val received = frames.map { decodeCborOrNull<PeerMessage>(it) as PeerMessage.ReportPieces }
                assertEquals(reports.toSet(), received.flatMapTo(HashSet()) { it.completePieces })
                assertTrue(received.all { it.backlogMs == 5L && it.waitsByRankMs == listOf(1L, 2L) })
            }
        }

    /** The receiver had a copy of the key for each piece. */
    @Test
    fun `the pieces of a request share what they have in common at the receiver`() {
        val case = cases.single { it.name == "a long key" }
        val message = Cbor.encodeToByteArray<PeerMessage>(executePieces("p", case.list().map(::specOf)).single())
        val received = (decodeCborOrNull<PeerMessage>(message) as PeerMessage.ExecutePieces).completePieces
        received.forEach { assertSame(received.first().key, it.key) }
    }

    @Test
    fun `pieces whose message would be too long are executed by this instance`() {
        val channel = EmbeddedChannel()
        val results = ArrayList<PieceResult>()
        val longest = Case("", pieces = 2, input = PieceInput.Key("k".repeat(MAX_MESSAGE_BYTES)))
        val time = VirtualTimeScheduler()
        executorOver(channel, time).execute(longest.list()) { _, result -> results += result }
        assertTrue(channel.outboundMessages().isEmpty())
        assertTrue(channel.isOpen)
        time.advance(10_000)
        assertEquals(emptyList(), results.filter { it is PieceResult.Completed }, "there is no worker")
    }

    /** The pieces of a lost owner were sent one by one, each with the key of all, and twice. */
    @Test
    fun `pieces that move to the next owner are sent once, and not at greater length`() {
        val case = cases.single { it.name == "many requests with long keys" }
        val former = EmbeddedChannel()
        val next = EmbeddedChannel()
        val owners = ChangingOwner("h2")
        executorOver(mapOf("h2" to former, "h3" to next), owners).execute(case.list()) { _, _ -> }
        owners.moveTo("h3")
        val frames = generateSequence { next.readOutbound<ByteBuf>() }.map { ByteBufUtil.getBytes(it) }.toList()
        assertTrue(frames.sumOf { it.size } <= case.maxBytes, "${frames.sumOf { it.size }} bytes, ${case.maxBytes} allowed")
        val received = frames.map { decodeCborOrNull<PeerMessage>(it) as PeerMessage.ExecutePieces }.flatMap { it.completePieces }
        assertEquals(case.list().size, received.size)
        assertEquals(case.list().map(::specOf).toSet(), received.toSet())
    }

    /** While a peer does not accept the connection, messages wait for it in memory. */
    @Test
    fun `a connection that is not established holds a bounded number of bytes`() {
        val channel =
            object : EmbeddedChannel() {
                override fun isActive() = false
            }
        val connection = PeerConnection("h", channel)
        var sent = 0
        while (connection.isOpen && sent < 1_000) {
            connection.send(PeerMessage.ReleaseResults("p", listOf("x".repeat(100_000))))
            sent++
        }
        assertTrue(sent <= 2 * MAX_MESSAGE_BYTES / 100_000 + 1, "$sent messages of 100 kB wait")
    }

    private fun executorOver(
        channel: Channel,
        time: VirtualTimeScheduler = VirtualTimeScheduler(),
    ) = executorOver(mapOf("h2" to channel), ChangingOwner("h2"), time)

    private fun executorOver(
        channels: Map<String, Channel>,
        owners: PoolOwners,
        time: VirtualTimeScheduler = VirtualTimeScheduler(),
    ): DistributedPieceExecutor {
        val log = DecisionLog(OutputStream.nullOutputStream())
        val directory = BackendDirectory(log)
        val metrics = GatewayMetrics()
        val gate = BackendGate(BackendNotices(seed = 1), { time.nowMs }, log, metrics)
        val loads = BackendLoads({ time.nowMs }, log)
        val local =
            LocalPieceExecutor(ConfigurationHolder(log), directory, gate, loads, NoSender, { time.nowMs }, time, { true }, log, metrics)
        return DistributedPieceExecutor(
            Address("h1", 1),
            FixedConnections(channels.mapValues { (host, channel) -> PeerConnection(host, channel) }),
            owners,
            local,
            Backlogs { time.nowMs },
            { time.nowMs },
            time,
            log,
        )
    }

    private class FixedConnections(
        private val connections: Map<String, PeerConnection>,
    ) : PeerConnections {
        private val listeners = ArrayList<PeerListener>()

        override fun addListener(listener: PeerListener) {
            listeners += listener
        }

        override fun connectionTo(host: String) = connections.getValue(host)

        override fun disconnect(host: String) {
            connections.getValue(host).close()
            listeners.forEach { it.onDisconnect(connections.getValue(host)) }
        }
    }

    private class ChangingOwner(
        private var host: String,
    ) : PoolOwners {
        private val listeners = ArrayList<() -> Unit>()
        override val liveHosts = setOf("h1", "h2", "h3")
        override var unreachableHosts = emptySet<String>()

        override fun ownerOf(pool: PoolId) = host

        override fun onChange(listener: () -> Unit) {
            listeners += listener
        }

        override fun watchPaths(hosts: () -> Set<String>) = Unit

        fun moveTo(next: String) {
            unreachableHosts = setOf(host)
            host = next
            listeners.forEach { it() }
        }
    }

    private object NoSender : BatchSender {
        override fun execute(
            worker: BackendServer,
            pieces: List<Piece>,
            timeoutMs: Long,
            onSent: () -> Unit,
            done: (BatchOutcome) -> Unit,
        ) = error("there is no worker")

        override fun workerOf(handle: String): BackendServer? = null

        override fun release(
            worker: BackendServer,
            handles: List<String>,
        ) = Unit
    }

    private companion object {
        val POOL = PoolId("p")

        /** The longest frame, without its length. */
        const val MAX_MESSAGE_BYTES = 2 * 1024 * 1024 - 4

        /** The names and numbers of a piece, and a short id, for each piece. */
        const val NUMBERS_BYTES = 100
        const val OTHER_BYTES = 1_000

        fun specOf(piece: Piece) =
            PieceSpec(
                piece.id.request.value,
                piece.id.stage,
                piece.id.segment,
                key = (piece.input as? PieceInput.Key)?.key,
                inputs = (piece.input as? PieceInput.Results)?.handles,
                resultBytes = piece.resultBytes,
                startWithinMs = piece.latestStartMs,
                expiresAfterMs = piece.expiresAtMs,
            )
    }
}
