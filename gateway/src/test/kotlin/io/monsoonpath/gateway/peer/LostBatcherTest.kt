package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.message.decodeCborOrNull
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.config.BatchLimits
import io.monsoonpath.gateway.config.CallerLimits
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.config.RoutingTable
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.directory.BackendState
import io.monsoonpath.gateway.http.ReportedLoad
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.stage.Backlogs
import io.monsoonpath.gateway.stage.BatchOutcome
import io.monsoonpath.gateway.stage.BatchSender
import io.monsoonpath.gateway.stage.LocalPieceExecutor
import io.monsoonpath.gateway.stage.Piece
import io.monsoonpath.gateway.stage.PieceId
import io.monsoonpath.gateway.stage.PieceInput
import io.monsoonpath.gateway.stage.PieceResult
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.policy.backend.BackendNotices
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.OutputStream
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Four instances share a paced pool, and the one that batches for it fails.
 *
 * Guards against pieces that are lost, that are sent to the next owner twice, or that the former owner executes after the handover.
 */
class LostBatcherTest {
    private enum class Fault { NONE, PROCESS_ENDS, MACHINE_LOST, FREEZE, REPORTS_CUT_OFF, PIECES_CUT_OFF, SLOW, CONNECTIONS_SILENT }

    private class Execution(
        val by: String,
        val atMs: Long,
    )

    private class Fleet(
        private val fault: Fault,
    ) {
        val time = VirtualTimeScheduler()
        val executions = HashMap<PieceId, MutableList<Execution>>()
        val results = HashMap<PieceId, MutableList<PieceResult>>()
        var pieces = 0
        var calls = 0
        private val log = DecisionLog(OutputStream.nullOutputStream())
        private val blocked = HashSet<Pair<String, String>>()
        private val instances = HOSTS.map { Instance(it) }
        private val owner get() = instances.first()

        fun run(): Fleet {
            for (atMs in 0L until LAST_ARRIVAL_MS step ARRIVAL_INTERVAL_MS) {
                instances.drop(1).forEach { instance -> time.schedule(atMs) { instance.run { submit(instance, atMs) } } }
            }
            time.schedule(FAULT_AT_MS, ::startFault)
            time.advance(END_MS)
            return this
        }

        private fun submit(
            instance: Instance,
            atMs: Long,
        ) {
            val request = RequestId("${instance.host}-$atMs")
            val batch =
                List(PIECES) {
                    Piece(PieceId(request, 0, it), POOL, PieceInput.Key("k"), 100, null, time.nowMs + SLACK_MS, time.nowMs + 2 * SLACK_MS)
                }
            pieces += PIECES
            instance.executor.execute(batch) { id, result -> results.getOrPut(id) { ArrayList() } += result }
        }

        private fun startFault() {
            when (fault) {
                Fault.NONE -> Unit
                Fault.PROCESS_ENDS -> {
                    owner.isAlive = false
                    owner.closeLinks()
                    detectBy { it.dead += owner.host }
                }
                Fault.MACHINE_LOST -> {
                    owner.isAlive = false
                    detectBy { it.dead += owner.host }
                }
                Fault.FREEZE -> {
                    owner.frozenUntilMs = THAW_AT_MS
                    detectBy { it.dead += owner.host }
                }
                Fault.REPORTS_CUT_OFF -> {
                    instances.drop(1).forEach { blocked += owner.host to it.host }
                    detectBy { it.unreachable += owner.host }
                }
                Fault.PIECES_CUT_OFF -> {
                    instances.drop(1).forEach { blocked += it.host to owner.host }
                    detectBy { it.unreachable += owner.host }
                }
                Fault.SLOW -> {
                    owner.costMs = SLOW_EVENT_MS
                    detectBy { it.unreachable += owner.host }
                }
                Fault.CONNECTIONS_SILENT -> {
                    instances.drop(1).forEachIndexed { i, instance ->
                        val link = instance.silenceLinkTo(owner)
                        time.schedule(DETECTION_MS + i * DETECTION_SPREAD_MS) { link.outgoing.closeSilent() }
                    }
                }
            }
        }

        /** The other instances notice the fault at different times. */
        private fun detectBy(record: (View) -> Unit) =
            instances.drop(1).forEachIndexed { i, instance ->
                time.schedule(DETECTION_MS + i * DETECTION_SPREAD_MS) {
                    record(instance.view)
                    instance.view.notifyListeners()
                }
            }

        private class View(
            private val localHost: String,
        ) : PoolOwners {
            val dead = HashSet<String>()
            val unreachable = HashSet<String>()
            private val listeners = ArrayList<() -> Unit>()
            override val liveHosts: Set<String> get() = HOSTS.toSet() - dead
            override val unreachableHosts: Set<String> get() = unreachable

            override fun ownerOf(pool: PoolId) = HOSTS.firstOrNull { it !in dead && it !in unreachable } ?: localHost

            override fun onChange(listener: () -> Unit) {
                listeners += listener
            }

            override fun watchPaths(hosts: () -> Set<String>) = Unit

            fun notifyListeners() = listeners.forEach { it() }
        }

        /** One process. Its events run in order; each takes [costMs] of processor time, and none runs while it is frozen. */
        private inner class Instance(
            val host: String,
        ) : Scheduler,
            PeerConnections,
            BatchSender {
            var isAlive = true
            var frozenUntilMs = 0L
            var costMs = 0L
            private var busyUntilMs = 0L
            val view = View(host)
            val listeners = ArrayList<PeerListener>()
            private val links = HashMap<String, Link>()
            private val accepted = ArrayList<Link>()
            private val directory = BackendDirectory(log)
            private val metrics = GatewayMetrics()
            private val loads = BackendLoads({ time.nowMs }, log)
            private val gate = BackendGate(BackendNotices(seed = 1), { time.nowMs }, log, metrics)
            private val configuration = ConfigurationHolder(log).also { it.applyIfNewer(TABLE, "test") }
            private val local =
                LocalPieceExecutor(configuration, directory, gate, loads, this, { time.nowMs }, this, { true }, log, metrics)
            val executor =
                DistributedPieceExecutor(Address(host, 1), this, view, local, Backlogs { time.nowMs }, { time.nowMs }, this, log)

            init {
                WORKERS.forEach {
                    directory.put(it, revision = 1)
                    loads.recordReport(it, ReportedLoad(0, 0, LIMITS.slots, 100))
                }
            }

            fun run(action: () -> Unit) {
                val startMs = maxOf(time.nowMs, frozenUntilMs, busyUntilMs)
                when {
                    !isAlive -> Unit
                    startMs > time.nowMs -> time.schedule(startMs - time.nowMs) { run(action) }
                    else -> {
                        busyUntilMs = startMs + costMs
                        action()
                    }
                }
            }

            override fun schedule(
                delayMs: Long,
                action: () -> Unit,
            ) = time.schedule(delayMs) { run(action) }

            override fun scheduleRepeatedly(
                intervalMs: Long,
                action: () -> Unit,
            ) = error("not used")

            override fun addListener(listener: PeerListener) {
                listeners += listener
            }

            override fun connectionTo(host: String): PeerConnection =
                links.getOrPut(host) { Link(this, instances.first { it.host == host }).also { it.to.accepted += it } }.outgoing

            override fun disconnect(host: String) {
                links[host]?.outgoing?.close()
            }

            fun remove(link: Link) = links.values.remove(link)

            fun silenceLinkTo(instance: Instance): Link = links.getValue(instance.host).also { it.isSilent = true }

            /** The operating system closes the connections of a process that has ended. */
            fun closeLinks() {
                accepted.forEach { it.notifyClosed(host, it.from.host) { it.outgoing.close() } }
                links.values.forEach { it.notifyClosed(host, it.to.host) { it.incoming.close() } }
            }

            override fun execute(
                worker: BackendServer,
                pieces: List<Piece>,
                timeoutMs: Long,
                onSent: () -> Unit,
                done: (BatchOutcome) -> Unit,
            ) {
                calls++
                pieces.forEach { executions.getOrPut(it.id) { ArrayList() } += Execution(host, time.nowMs) }
                onSent()
                val durationMs = (LIMITS.callMs + pieces.size * LIMITS.pieceMs).toLong()
                time.schedule(durationMs) {
                    val handles = pieces.map { "${worker.id}/$host/${it.id.request.value}/${it.id.segment}" }
                    run { done(BatchOutcome.Answered(handles.map { PieceResult.Completed(it) })) }
                }
            }

            override fun workerOf(handle: String): BackendServer? = directory[BackendId(handle.substringBefore('/'))]

            override fun release(
                worker: BackendServer,
                handles: List<String>,
            ) = Unit
        }

        /** A connection that [from] has opened to [to]. */
        private inner class Link(
            val from: Instance,
            val to: Instance,
        ) {
            /** Whether the link passes nothing on, not even that one end has closed it. */
            var isSilent = false
            val outgoing: PeerConnection = PeerConnection(to.host, channel(from, to) { incoming })
            val incoming: PeerConnection = PeerConnection(from.host, channel(to, from) { outgoing })

            private fun channel(
                sender: Instance,
                receiver: Instance,
                otherEnd: () -> PeerConnection,
            ): EmbeddedChannel {
                val channel = EmbeddedChannel(Wire { message -> deliver(sender, receiver, otherEnd, message) })
                channel.closeFuture().addListener {
                    if (sender === from) {
                        from.remove(this)
                        from.listeners.forEach { it.onDisconnect(outgoing) }
                    } else {
                        to.listeners.forEach { it.onPeerClosed(incoming) }
                    }
                    if (!isSilent) notifyClosed(sender.host, receiver.host) { otherEnd().close() }
                }
                return channel
            }

            private fun deliver(
                sender: Instance,
                receiver: Instance,
                otherEnd: () -> PeerConnection,
                message: PeerMessage,
            ) {
                if (isSilent) return
                transmit(sender.host, receiver) {
                    otherEnd().monitor.recordReceived()
                    if (otherEnd().isOpen) receiver.listeners.forEach { it.onMessage(otherEnd(), message) }
                }
            }

            fun notifyClosed(
                senderHost: String,
                receiverHost: String,
                close: () -> Unit,
            ) = transmit(senderHost, instances.first { it.host == receiverHost }, close)
        }

        private fun transmit(
            senderHost: String,
            receiver: Instance,
            action: () -> Unit,
        ) {
            if (senderHost to receiver.host in blocked) return
            time.schedule(MESSAGE_MS) { receiver.run(action) }
        }
    }

    /** Passes the messages that are written to a channel on. */
    private class Wire(
        private val send: (PeerMessage) -> Unit,
    ) : ChannelOutboundHandlerAdapter() {
        override fun write(
            ctx: ChannelHandlerContext,
            msg: Any,
            promise: ChannelPromise,
        ) {
            val message = checkNotNull(decodeCborOrNull<PeerMessage>(ByteBufUtil.getBytes(msg as ByteBuf)))
            msg.release()
            promise.setSuccess()
            send(message)
        }
    }

    private fun assertFinalResults(fleet: Fleet) {
        assertEquals(fleet.pieces, fleet.results.size, "pieces with a result")
        val wrong = fleet.results.filterValues { it.size != 1 || it.single() !is PieceResult.Completed }
        assertTrue(wrong.isEmpty(), "$wrong")
    }

    @TestFactory
    fun `each piece has one result, and none is executed twice beyond the handover`() =
        Fault.entries.map { fault ->
            DynamicTest.dynamicTest("$fault") {
                val fleet = Fleet(fault).run()
                val byFormerOwner = fleet.executions.values.flatMap { all -> all.filter { it.by == HOSTS.first() } }
                val afterHandover = byFormerOwner.count { it.atMs > HANDED_OVER_AT_MS }
                val twiceByOneOwner = fleet.executions.values.count { all -> all.distinctBy { it.by }.size < all.size }
                println(
                    "$fault: ${fleet.pieces} pieces, ${fleet.calls} calls, ${fleet.executions.values.count {
                        it.size > 1
                    }} executed twice, " +
                        "$afterHandover by the former owner after the handover, $twiceByOneOwner twice by one owner",
                )
                assertFinalResults(fleet)
                assertTrue(twiceByOneOwner <= maxTwiceByOneOwner(fault), "$twiceByOneOwner executed twice by one owner")
                if (fault in KEEPING_THE_OWNER) {
                    assertEquals(setOf(HOSTS.first()), fleet.executions.values.flatMapTo(HashSet()) { all -> all.map { it.by } })
                } else {
                    assertTrue(afterHandover <= maxAfterHandover(fault), "$afterHandover by the former owner")
                }
            }
        }

    /** Only the pieces that are in calls when their connections go silent are executed once more. */
    private fun maxTwiceByOneOwner(fault: Fault): Int =
        if (fault == Fault.CONNECTIONS_SILENT) (1 + CALLS_WHILE_SILENT) * WORKERS.size * LIMITS.slots * LIMITS.maxPieces else 0

    /** An instance that runs late has calls that end, and sends the next ones, before it sees that its connections were closed. */
    private fun maxAfterHandover(fault: Fault): Int =
        if (fault == Fault.FREEZE || fault == Fault.SLOW) WORKERS.size * LIMITS.slots * LIMITS.maxPieces else 0

    private companion object {
        val HOSTS = listOf("10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4")
        val POOL = PoolId("p")
        val LIMITS =
            BatchLimits(2, 2, maxPieces = 8, callMs = 240.0, pieceMs = 5.0, 1_000_000, resultTtlMs = 4_000, linkBytesPerMs = 1_000)
        val TABLE =
            RoutingTable(
                ConfigRevision(1),
                emptyList(),
                listOf(Pool(POOL, 100, 0.0, null, LIMITS)),
                null,
                CallerLimits(16_384, 4_194_304, 3_000, 15_000),
            )
        val WORKERS =
            listOf("a", "b").map {
                BackendServer(BackendId(it), POOL, Address("10.0.1.1", 80), FailureDomain("z"), 1, BackendState.READY, 0, 1)
            }

        /** 150 pieces per second, while the workers complete 114, so that pieces are queued when the fault occurs. */
        const val ARRIVAL_INTERVAL_MS = 80L
        const val PIECES = 4
        const val SLACK_MS = 10_000L
        const val LAST_ARRIVAL_MS = 4_000L
        const val END_MS = 60_000L
        const val MESSAGE_MS = 3L
        const val FAULT_AT_MS = 1_000L
        const val DETECTION_MS = 1_000L
        const val DETECTION_SPREAD_MS = 50L

        /** When the last instance has noticed the fault and its message has arrived. */
        const val HANDED_OVER_AT_MS = FAULT_AT_MS + DETECTION_MS + 2 * DETECTION_SPREAD_MS + MESSAGE_MS
        const val THAW_AT_MS = 3_500L
        const val SLOW_EVENT_MS = 60L
        val KEEPING_THE_OWNER = setOf(Fault.NONE, Fault.CONNECTIONS_SILENT)

        /** The calls that a worker completes, one after the other, until the last instance has noticed the silence. */
        const val CALLS_WHILE_SILENT = ((DETECTION_MS + 2 * DETECTION_SPREAD_MS) / 240L).toInt()
    }
}
