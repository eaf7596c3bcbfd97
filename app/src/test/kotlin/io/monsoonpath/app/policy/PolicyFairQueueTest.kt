package io.monsoonpath.app.policy

import io.monsoonpath.app.request.Exchange
import io.monsoonpath.app.request.ExecutionSlot
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.LimitSettings
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import io.monsoonpath.model.valueOrNull
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

internal class PolicyFairQueueTest {
    private val clock = ClockMs { 0 }

    @ParameterizedTest
    @CsvSource("5, 10, , 3, OK OK OK", "2, 0, 1, 2, OK CONCURRENCY_LIMITED", "9, 9, 2, 3, OK OK CONCURRENCY_LIMITED")
    fun `admits as many requests as the limits allow`(
        maxRunning: Int,
        maxQueued: Int,
        workspaceLimit: Int?,
        requests: Int,
        expected: String,
    ) = runBlocking {
        val queue = queue(maxRunning, maxQueued)
        val outcomes = List(requests) { queue.acquire(exchange("a", workspaceLimit)) }
        assertEquals(expected, outcomes.joinToString(" ") { it.text() })
    }

    @Test
    fun `a queued request starts when a running one releases its slot`() =
        runBlocking {
            val queue = queue(maxRunning = 1)
            val first = assertNotNull(queue.acquire(exchange("a")).valueOrNull())
            val second = async(start = CoroutineStart.UNDISPATCHED) { queue.acquire(exchange("b")) }
            assertEquals(false, second.isCompleted)
            first.release(10)
            assertEquals("OK", second.await().text())
        }

    @Test
    fun `a request that is cancelled while queued takes no slot`() =
        runBlocking {
            val queue = queue(maxRunning = 1)
            val first = assertNotNull(queue.acquire(exchange("a")).valueOrNull())
            val second = async(start = CoroutineStart.UNDISPATCHED) { queue.acquire(exchange("b")) }
            second.cancelAndJoin()
            first.release(10)
            assertEquals("OK", queue.acquire(exchange("c")).text())
        }

    @Test
    fun `a full queue drops a request of the workspace with the most queued requests`() =
        runBlocking {
            val queue = queue(maxRunning = 1, maxQueued = 2)
            queue.acquire(exchange("a"))
            val waiting = List(2) { async(start = CoroutineStart.UNDISPATCHED) { queue.acquire(exchange("a")) } }
            val other = async(start = CoroutineStart.UNDISPATCHED) { queue.acquire(exchange("b")) }
            assertEquals("OVERLOADED", waiting.last().await().text())
            (waiting + other).forEach { it.cancel() }
        }

    @Test
    fun `a request that stays queued past its deadline is refused`() =
        runBlocking {
            val queue = queue(maxRunning = 1)
            queue.acquire(exchange("a"))
            assertEquals("DEADLINE_UNREACHABLE", queue.acquire(exchange("b", deadlineMs = 20)).text())
        }

    private fun queue(
        maxRunning: Int,
        maxQueued: Int = 10,
    ) = PolicyFairQueue(clock, LimitSettings(maxRunning = maxRunning, maxQueued = maxQueued), StageDurationTracker(clock))

    private fun exchange(
        workspace: String,
        maxRunning: Int? = null,
        deadlineMs: Long = 60_000,
    ) = Exchange(
        RequestId("r"),
        "/",
        ByteArray(0),
        null,
        0,
        null,
        currentView = { error("the queue does not read the configuration") },
    ).also {
        val stage = StageSpec(StageId("s"), StageKind.ENCODE, PoolId("p"), "/")
        it.pipeline = PipelineSpec(PipelineId("p"), deadlineMs, listOf(stage))
        it.workspace = WorkspaceSpec(WorkspaceId(workspace), rateMilliPerS = 1_000, burst = 1, maxRunning = maxRunning)
    }

    private fun Outcome<ExecutionSlot>.text() = (this as? Outcome.Refused)?.refusal?.reason?.let { r: RefusalReason -> r.name } ?: "OK"
}
