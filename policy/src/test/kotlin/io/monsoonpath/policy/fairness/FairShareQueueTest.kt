package io.monsoonpath.policy.fairness

import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.WorkspaceId
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class FairShareQueueTest {
    @ParameterizedTest
    @CsvSource("1, 1, 10, 10, 50", "3, 1, 10, 10, 75", "1, 1, 30, 10, 25", "2, 1, 20, 10, 50")
    fun `shares stage time by weight`(
        weightA: Double,
        weightB: Double,
        costA: Double,
        costB: Double,
        startedOfA: Int,
    ) {
        val queue = FairShareQueue<Int>(maxQueued = 1_000)
        queue.configure(A, weightA)
        queue.configure(B, weightB)
        repeat(300) { queue.enqueue(request(A, costMs = costA), nowMs = 0) }
        repeat(300) { queue.enqueue(request(B, costMs = costB), nowMs = 0) }
        val started = List(100) { checkNotNull(queue.dequeue(nowMs = 0).started).workspace }
        assertEquals(startedOfA.toDouble(), started.count { it == A }.toDouble(), absoluteTolerance = 1.0)
    }

    @ParameterizedTest
    @CsvSource("1", "10", "100")
    fun `the request rate of one workspace does not affect the wait of another`(rateFactor: Int) {
        val queue = FairShareQueue<Int>(maxQueued = 50)
        var waitedTurns = 0
        repeat(200) { turn ->
            repeat(rateFactor) { queue.enqueue(request(A), nowMs = 0) }
            val own = request(B, payload = turn)
            queue.enqueue(own, nowMs = 0)
            repeat(2) { if (queue.dequeue(0).started === own) waitedTurns += it }
        }
        assertTrue(waitedTurns <= 200, "waited $waitedTurns turns")
        assertEquals(0, queue.backlogMsByWorkspace().keys.count { it == B })
    }

    @ParameterizedTest
    @CsvSource("0, 10.0", "3, 11.5", "5, 12.5", "50, 12.5")
    fun `an idle workspace yields its share to the others but keeps the credit of the last five seconds`(
        idleS: Int,
        startedOfB: Double,
    ) {
        val queue = FairShareQueue<Int>(maxQueued = 1_000)
        queue.enqueue(request(B), nowMs = 0)
        repeat(100) { queue.enqueue(request(A), nowMs = 0) }
        repeat(50 - idleS) { queue.dequeue(nowMs = 0) }
        repeat(idleS) { i -> queue.dequeue(nowMs = 10_000L + i * 1_000L) }
        val nowMs = 10_000L + idleS * 1_000L
        repeat(50) { queue.enqueue(request(B), nowMs) }
        val started = List(20) { queue.dequeue(nowMs).started?.workspace }
        assertEquals(startedOfB, started.count { it == B }.toDouble(), absoluteTolerance = 1.5)
    }

    @Test
    fun `a workspace whose requests took longer than estimated gets a smaller share afterwards`() {
        val queue = FairShareQueue<Int>(maxQueued = 1_000)
        repeat(100) {
            queue.enqueue(request(A), nowMs = 0)
            queue.enqueue(request(B), nowMs = 0)
        }
        repeat(10) { queue.correctCost(A, estimatedMs = 10.0, actualMs = 20.0) }
        val started = List(30) { queue.dequeue(0).started?.workspace }
        assertEquals(10.0, started.count { it == A }.toDouble(), absoluteTolerance = 1.0)
    }

    @Test
    fun `starts requests by priority and then by deadline and reports expired ones`() {
        val queue = FairShareQueue<Int>(maxQueued = 10)
        queue.enqueue(request(A, deadlineAtMs = 300, payload = 3), nowMs = 0)
        queue.enqueue(request(A, deadlineAtMs = 200, payload = 2), nowMs = 0)
        queue.enqueue(request(A, deadlineAtMs = 50, payload = 1), nowMs = 0)
        queue.enqueue(request(A, deadlineAtMs = 400, priority = -1, payload = 0), nowMs = 0)
        val results = List(4) { queue.dequeue(nowMs = 100) }
        assertEquals(listOf(0, 2, 3, null), results.map { it.started?.payload })
        assertEquals(listOf(1), results.flatMap { it.expired }.map { it.payload })
    }

    @ParameterizedTest
    @CsvSource("0, 400, 2", "100, 400, 1")
    fun `a full queue drops expired requests or else the latest of the largest backlog`(
        nowMs: Long,
        latestDeadlineMs: Long,
        victim: Int,
    ) {
        val queue = FairShareQueue<Int>(maxQueued = 3)
        queue.enqueue(request(A, deadlineAtMs = 50, payload = 1), nowMs = 0)
        queue.enqueue(request(A, deadlineAtMs = latestDeadlineMs, payload = 2), nowMs = 0)
        queue.enqueue(request(B, deadlineAtMs = 900, payload = 3), nowMs = 0)
        val result = queue.enqueue(request(B, deadlineAtMs = 300, costMs = 5.0, payload = 4), nowMs)
        assertEquals(victim, (result.expired + listOfNotNull(result.dropped)).single().payload)
        assertEquals(3, queue.size)
    }

    @Test
    fun `a request can be cancelled only once`() {
        val queue = FairShareQueue<Int>(maxQueued = 3)
        val request = request(A)
        queue.enqueue(request, nowMs = 0)
        assertEquals(listOf(true, false), List(2) { queue.cancel(request) })
        assertEquals(0.0, queue.backlogMs)
    }

    @ParameterizedTest
    @CsvSource("9.0, 0.0, 0, 3.0", "3.0, 3.0, 0, 1.0", "0.0, 3.0, 0, 0.1", "9.0, 0.0, 20000, 1.0")
    fun `weights are scaled by the share of the total demand`(
        ownMs: Double,
        peerMs: Double,
        ageMs: Long,
        weight: Double,
    ) {
        val own = DemandSummary(InstanceId("e1"), mapOf(A to ownMs))
        val peers = listOf("e2", "e3").map { ReceivedDemand(DemandSummary(InstanceId(it), mapOf(A to peerMs)), receivedAtMs = 0) }
        assertEquals(weight, demandWeights(mapOf(A to 1), own, peers, nowMs = ageMs).getValue(A), absoluteTolerance = 1e-9)
    }

    private fun request(
        workspace: WorkspaceId,
        deadlineAtMs: Long = 100_000,
        costMs: Double = 10.0,
        priority: Int = 0,
        payload: Int = 0,
    ) = QueuedRequest(workspace, deadlineAtMs, latestStartMs = deadlineAtMs, costMs, priority, payload)

    private companion object {
        val A = WorkspaceId("a")
        val B = WorkspaceId("b")
    }
}
