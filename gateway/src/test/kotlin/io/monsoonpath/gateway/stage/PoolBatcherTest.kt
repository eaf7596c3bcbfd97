package io.monsoonpath.gateway.stage

import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.config.BatchLimits
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.directory.BackendState
import io.monsoonpath.gateway.http.ResponseHead
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RequestId
import io.monsoonpath.policy.backend.BackendNotices
import java.io.ByteArrayOutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PoolBatcherTest {
    private class Call(
        val worker: BackendServer,
        val pieces: List<Piece>,
        val onSent: () -> Unit,
        val done: (BatchOutcome) -> Unit,
    ) {
        fun answer() = done(BatchOutcome.Answered(pieces.map { PieceResult.Completed("${worker.id}/${it.id.request}/${it.id.segment}") }))
    }

    private class FakeSender : BatchSender {
        val calls = ArrayList<Call>()
        val released = ArrayList<Pair<BackendId, List<String>>>()
        lateinit var directory: BackendDirectory

        override fun execute(
            worker: BackendServer,
            pieces: List<Piece>,
            timeoutMs: Long,
            onSent: () -> Unit,
            done: (BatchOutcome) -> Unit,
        ) {
            calls += Call(worker, pieces, onSent, done)
        }

        override fun workerOf(handle: String): BackendServer? = directory[BackendId(handle.substringBefore('/'))]

        override fun release(
            worker: BackendServer,
            handles: List<String>,
        ) {
            released += worker.id to handles
        }
    }

    private val time = VirtualTimeScheduler()
    private val log = DecisionLog(ByteArrayOutputStream())
    private val directory = BackendDirectory(log)
    private val sender = FakeSender().also { it.directory = directory }
    private val limits =
        BatchLimits(
            slots = 1,
            maxQueuedCalls = 2,
            maxPieces = 4,
            callMs = 240.0,
            pieceMs = 10.0,
            resultMemoryBytes = 10_000,
            resultTtlMs = 4_000,
            linkBytesPerMs = 1_250_000,
        )
    private val results = ArrayList<Pair<Int, PieceResult>>()
    private var isSoleBatcher = true
    private val gate = BackendGate(BackendNotices(seed = 1), { time.nowMs }, log, GatewayMetrics())
    private val batcher = PoolBatcher(POOL, { limits }, directory, gate, sender, { time.nowMs }, time, { isSoleBatcher }, log)

    private fun worker(name: String) =
        directory.put(
            BackendServer(BackendId(name), POOL, Address("10.0.0.1", 80), FailureDomain("z"), 1, BackendState.READY, 0, 1),
            revision = 1,
        )

    private fun add(
        count: Int,
        request: String = "r",
        resultBytes: Long = 100,
        input: PieceInput = PieceInput.Key("k"),
        latestStartMs: Long = 10_000,
    ) = batcher.add(
        List(count) { Piece(PieceId(RequestId(request), 0, it), POOL, input, resultBytes, null, latestStartMs, expiresAtMs = 20_000) },
    ) { id, result -> results += id.segment to result }

    /** Records a response of the worker called [name] that refuses with [retryAfter], or states that it is leaving if that is null. */
    private fun notice(
        name: String,
        retryAfter: String?,
    ) = gate.recordHead(
        checkNotNull(directory[BackendId(name)]),
        ResponseHead(503, null, isSigned = false, isNotRun = true, load = null, isLeaving = retryAfter == null, retryAfter = retryAfter),
        time.nowMs,
    )

    @Test
    fun `pieces go to no worker that is leaving or wants none`() {
        listOf("a", "b", "c").forEach(::worker)
        notice("a", null)
        notice("b", "60")
        add(2)
        assertEquals(listOf("c"), sender.calls.map { it.worker.id.value })
    }

    @Test
    fun `pieces for which no worker can be available in time fail at once`() {
        val cases = listOf(null to 1, "60" to 1, "5" to 0)
        for ((retryAfter, failedCount) in cases) {
            results.clear()
            directory.remove(BackendId("a"), "test")
            directory.put(
                BackendServer(BackendId("a"), POOL, Address("10.0.0.1", 80), FailureDomain("z"), 1, BackendState.READY, 0, time.nowMs + 2),
                revision = 1,
            )
            notice("a", retryAfter)
            add(1)
            assertEquals(failedCount, results.count { it.second == PieceResult.Failed(PieceFailure.LATE) }, "retryAfter $retryAfter")
            assertEquals(0, sender.calls.size)
            time.advance(time.nowMs + 1)
        }
    }

    @Test
    fun `a queued piece is sent when the wait of the worker is over`() {
        worker("a")
        notice("a", "1")
        add(1)
        time.advance(999)
        assertEquals(0, sender.calls.size)
        time.advance(1_250)
        assertEquals(1, sender.calls.size)
    }

    @Test
    fun `the backlog of a pool that wants no pieces is the time until it does`() {
        worker("a")
        notice("a", "4")
        assertTrue(batcher.backlogMs() in 4_000..5_000, "${batcher.backlogMs()}")
        notice("a", null)
        assertTrue(batcher.backlogMs() > 0)
    }

    @Test
    fun `results of a worker that wants no requests are not released`() {
        worker("a")
        notice("a", "4")
        batcher.release(listOf("a/h"))
        assertEquals(0, sender.released.size)
    }

    @Test
    fun `a free worker receives queued pieces at once and later pieces are batched`() {
        worker("a")
        add(1)
        add(6, "s")
        assertEquals(listOf(1), sender.calls.map { it.pieces.size })
        sender.calls[0].answer()
        assertEquals(listOf(1, 4), sender.calls.map { it.pieces.size })
        sender.calls[1].answer()
        assertEquals(listOf(1, 4, 2), sender.calls.map { it.pieces.size })
    }

    @Test
    fun `unreleased results limit the batch size`() {
        worker("a")
        add(4, resultBytes = 4_000)
        assertEquals(
            2,
            sender.calls
                .single()
                .pieces.size,
        )
        sender.calls[0].answer()
        assertEquals(1, sender.calls.size)
        batcher.release(listOf("a/r/0", "a/r/1"))
        assertEquals(2, sender.calls[1].pieces.size)
        assertEquals(listOf(BackendId("a") to listOf("a/r/0", "a/r/1")), sender.released)
    }

    @Test
    fun `a rejected call is retried after a pause`() {
        worker("a")
        add(2)
        sender.calls[0].done(BatchOutcome.Rejected)
        assertEquals(1, sender.calls.size)
        time.advance(500)
        assertEquals(2, sender.calls[1].pieces.size)
        assertTrue(results.isEmpty())
    }

    @Test
    fun `a piece fails after three lost calls`() {
        worker("a")
        add(1)
        repeat(3) { tries ->
            assertEquals(tries + 1, sender.calls.size)
            sender.calls[tries].done(BatchOutcome.Lost("test"))
            time.advance(time.nowMs + 2_000)
            batcher.dispatch()
        }
        assertEquals(listOf<Pair<Int, PieceResult>>(0 to PieceResult.Failed(PieceFailure.WORKER_FAILED)), results)
        assertEquals(3, sender.calls.size)
    }

    @Test
    fun `expected pieces count towards the backlog`() {
        worker("a")
        batcher.expect(RequestId("s"), count = 3, latestStartMs = 1_000)
        assertEquals(210, batcher.backlogMs())
        add(1, "s")
        assertEquals(140, batcher.backlogMs())
        batcher.cancel(RequestId("s"))
        assertEquals(0, batcher.backlogMs())
    }

    @Test
    fun `starved pieces fail while others are queued`() {
        worker("a")
        add(1, "first")
        add(2, "late", latestStartMs = 100)
        add(5, "other")
        time.nowMs = 401
        batcher.dispatch()
        assertEquals(List<Pair<Int, PieceResult>>(2) { it to PieceResult.Failed(PieceFailure.LATE) }, results)
    }

    /** With two batching instances, calls queue at the workers, which read their inputs only when they start them. */
    @Test
    fun `only a sole batching instance reports the start of a piece`() {
        worker("a")
        isSoleBatcher = false
        add(1, input = PieceInput.Results(listOf("h")))
        sender.calls[0].onSent()
        assertTrue(results.isEmpty())
        sender.calls[0].answer()
        results.clear()
        isSoleBatcher = true
        add(1, "s", input = PieceInput.Results(listOf("h")))
        // A busy instance may write the call much later, and the inputs are released soon after the report.
        assertTrue(results.isEmpty())
        sender.calls[1].onSent()
        assertEquals(listOf<Pair<Int, PieceResult>>(0 to PieceResult.Started), results)
    }

    private companion object {
        val POOL = PoolId("p")
    }
}
