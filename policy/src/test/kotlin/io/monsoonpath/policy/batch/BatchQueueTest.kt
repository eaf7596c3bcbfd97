package io.monsoonpath.policy.batch

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BatchQueueTest {
    private class Case(
        val name: String,
        val pieces: List<QueuedPiece<String>>,
        val expected: List<String>,
        val maxPieces: Int = 10,
        val freeBytes: Long = 1_000,
        val domain: String? = null,
        val nowMs: Long = 1_000,
        val capacityBytes: Long = freeBytes,
    )

    private fun piece(
        item: String,
        latestStartMs: Long = 2_000,
        resultBytes: Long = 1,
        domain: String? = null,
        queuedAtMs: Long = 1_000,
    ) = QueuedPiece(item, item.take(1), latestStartMs, expiresAtMs = 9_000, resultBytes, domain, queuedAtMs)

    private val cases =
        listOf(
            Case("takes all queued pieces", listOf(piece("a1"), piece("b1")), listOf("a1", "b1")),
            Case("takes at most one batch", listOf(piece("a1"), piece("b1"), piece("c1")), listOf("a1", "b1"), maxPieces = 2),
            Case("orders pieces by their latest start", listOf(piece("a1", 3_000), piece("b1", 2_000)), listOf("b1", "a1")),
            Case("takes late pieces after those that can be on time", listOf(piece("a1", 500), piece("b1", 3_000)), listOf("b1", "a1")),
            Case("keeps the pieces of a request together", listOf(piece("a1"), piece("b1"), piece("a2")), listOf("a1", "a2", "b1")),
            Case("leaves pieces whose results do not fit", listOf(piece("a1", resultBytes = 900), piece("b1", 2_100, 200)), listOf("a1")),
            Case(
                "does not divide a request",
                listOf(piece("a1"), piece("a2"), piece("b1", 2_100), piece("b2", 2_100), piece("c1", 2_200)),
                listOf("a1", "a2", "c1"),
                maxPieces = 8,
                freeBytes = 3,
                capacityBytes = 8,
            ),
            Case(
                "divides a request that needs a large share of the worker",
                listOf(piece("a1", resultBytes = 400), piece("a2", resultBytes = 400), piece("a3", resultBytes = 400)),
                listOf("a1", "a2"),
            ),
            Case("skips a request that does not fit", listOf(piece("a1", resultBytes = 2_000), piece("b1", 2_100)), listOf("b1")),
            Case("leaves pieces that prefer another domain", listOf(piece("a1", domain = "x"), piece("b1")), listOf("b1"), domain = "y"),
            Case("takes pieces that prefer its domain", listOf(piece("a1", domain = "x")), listOf("a1"), domain = "x"),
            Case(
                "takes pieces that have waited the minimum",
                listOf(piece("a1", 1_100, domain = "x", queuedAtMs = 900)),
                listOf("a1"),
                domain = "y",
            ),
            Case("leaves pieces that can wait longer", listOf(piece("a1", 2_500, domain = "x", queuedAtMs = 601)), listOf(), domain = "y"),
            Case(
                "takes pieces that have waited their share of the slack",
                listOf(piece("a1", 2_200, domain = "x", queuedAtMs = 600)),
                listOf("a1"),
                domain = "y",
            ),
        )

    @TestFactory
    fun `takes the pieces of the next call`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val queue = BatchQueue<String>(minDomainWaitMs = 100)
                case.pieces.forEach(queue::add)
                val taken = queue.takeBatch(case.nowMs, case.maxPieces, case.freeBytes, case.domain, case.capacityBytes)
                assertEquals(case.expected, taken.map { it.item })
                assertEquals(case.pieces.size - case.expected.size, queue.size)
            }
        }

    @Test
    fun `removes the pieces of a request and those that have expired`() {
        val queue = BatchQueue<String>()
        listOf(piece("a1"), piece("b1"), piece("a2")).forEach(queue::add)
        assertEquals(listOf("a1", "a2"), queue.removeRequest("a").map { it.item })
        assertTrue(queue.removeExpired(8_999).isEmpty())
        assertEquals(listOf("b1"), queue.removeExpired(9_000).map { it.item })
    }

    @Test
    fun `the backlog counts pieces from when they are expected until they are taken, removed or late`() {
        val queue = BatchQueue<String>()
        queue.addExpected("a", count = 2, latestStartMs = 2_000)
        queue.addExpected("b", count = 3, latestStartMs = 1_500)
        assertEquals(5, queue.backlog(1_000))
        queue.add(piece("a1"))
        assertEquals(5, queue.backlog(1_000))
        assertEquals(2, queue.backlog(1_501))
        queue.add(piece("a2"))
        queue.takeBatch(1_501, maxPieces = 10, freeBytes = 10)
        assertEquals(0, queue.backlog(1_501))
        queue.addExpected("c", count = 1, latestStartMs = 2_000)
        queue.removeRequest("c")
        assertEquals(0, queue.backlog(1_501))
    }

    @Test
    fun `removes late pieces only if more pieces than the limit can be on time`() {
        val queue = BatchQueue<String>()
        listOf(piece("a1", latestStartMs = 500), piece("b1", 2_000), piece("c1", 2_000)).forEach(queue::add)
        assertTrue(queue.removeStarved(nowMs = 1_000, lateMs = 300, maxOnTime = 2).isEmpty())
        assertTrue(queue.removeStarved(nowMs = 800, lateMs = 300, maxOnTime = 1).isEmpty())
        assertEquals(listOf("a1"), queue.removeStarved(nowMs = 1_000, lateMs = 300, maxOnTime = 1).map { it.item })
    }

    /**
     * Replays the load of a stage pool: four workers, 240 ms per call and 4.6 ms per piece, 26 requests of eight pieces per second.
     * With one request per call, the pool completes 14 requests per second; with batches it keeps up.
     */
    @Test
    fun `batches keep up with a load that overloads single-request calls`() {
        val unbatched = replay(maxPieces = PIECES_PER_REQUEST)
        val batched = replay(maxPieces = 45)
        assertTrue(batched.servedOnTime >= 0.95, "share on time with batches: ${batched.servedOnTime}")
        assertTrue(unbatched.servedOnTime <= 0.6, "share on time with one request per call: ${unbatched.servedOnTime}")
    }

    private class ReplayResult(
        val servedOnTime: Double,
    )

    private fun replay(maxPieces: Int): ReplayResult {
        val queue = BatchQueue<Long>()
        val freeAtMs = LongArray(WORKERS)
        var onTime = 0
        var arrived = 0
        for (nowMs in 0L until DURATION_MS) {
            if (nowMs * REQUESTS_PER_S / MS_PER_S != (nowMs - 1) * REQUESTS_PER_S / MS_PER_S) {
                arrived++
                repeat(PIECES_PER_REQUEST) { queue.add(QueuedPiece(nowMs, "r$nowMs", nowMs + ON_TIME_MS, nowMs + 10 * ON_TIME_MS, 1)) }
            }
            for (worker in 0 until WORKERS) {
                if (freeAtMs[worker] > nowMs) continue
                val batch = queue.takeBatch(nowMs, maxPieces, Long.MAX_VALUE)
                if (batch.isEmpty()) continue
                freeAtMs[worker] = nowMs + CALL_MS + (batch.size * PIECE_MS).toLong()
                onTime += batch.count { freeAtMs[worker] - it.item <= ON_TIME_MS }
            }
        }
        return ReplayResult(onTime.toDouble() / (arrived * PIECES_PER_REQUEST))
    }

    private companion object {
        const val WORKERS = 4
        const val PIECES_PER_REQUEST = 8
        const val REQUESTS_PER_S = 26L
        const val CALL_MS = 240L
        const val PIECE_MS = 4.6
        const val ON_TIME_MS = 700L
        const val DURATION_MS = 30_000L
        const val MS_PER_S = 1_000L
    }
}
