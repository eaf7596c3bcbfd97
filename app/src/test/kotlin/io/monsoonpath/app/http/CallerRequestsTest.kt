package io.monsoonpath.app.http

import com.linecorp.armeria.client.WebClient
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.RequestHeaders
import io.monsoonpath.app.request.Mismatch
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.LimitSettings
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the requests of callers: complete answers, bounds of requests, limits and configuration changes. */
class CallerRequestsTest {
    private class BadRequest(
        val name: String,
        val headers: Map<String, List<String>> = emptyMap(),
        val body: String = "{}",
        val method: HttpMethod = HttpMethod.POST,
        val path: String = "/v1/run",
        val reason: RefusalReason = RefusalReason.BAD_REQUEST,
    )

    private val badRequests =
        listOf(
            BadRequest("no body", body = ""),
            BadRequest("not JSON", body = "{\"a\":"),
            BadRequest("nested too deeply", body = "[".repeat(100_000)),
            BadRequest("too large", body = "\"${"x".repeat(5_000)}\"", reason = RefusalReason.BODY_TOO_LARGE),
            BadRequest("wrong content type", mapOf("content-type" to listOf("text/plain"))),
            BadRequest("GET", method = HttpMethod.GET),
            BadRequest("two request ids", mapOf(REQUEST_ID_HEADER to listOf("a", "b"))),
            BadRequest("two keys", mapOf("authorization" to listOf("Bearer a", "Bearer b"))),
            BadRequest("two deadlines", mapOf(DEADLINE_HEADER to listOf("1", "2"))),
            BadRequest("a request id with a space", mapOf(REQUEST_ID_HEADER to listOf("a b"))),
            BadRequest("a request id that is too long", mapOf(REQUEST_ID_HEADER to listOf("a".repeat(65)))),
            BadRequest("a deadline of zero", mapOf(DEADLINE_HEADER to listOf("0"))),
            BadRequest("a deadline that is not a number", mapOf(DEADLINE_HEADER to listOf("soon"))),
            BadRequest("a deadline beyond ten minutes", mapOf(DEADLINE_HEADER to listOf("600001"))),
            BadRequest("an unknown path", path = "/v1/none", reason = RefusalReason.NO_ROUTE),
        )

    @TestFactory
    fun `a bad request is refused with its reason and reaches no backend server`(): List<DynamicTest> =
        badRequests.map { bad ->
            dynamicTest(bad.name) {
                Harness(limits = LimitSettings(maxBodyBytes = if ("deep" in bad.name) 1_000_000 else 4_096)).use { harness ->
                    val answer =
                        harness.client
                            .execute(bad.toRequest())
                            .aggregate()
                            .join()
                    assertEquals(bad.reason, answer.refusal().reason, answer.contentUtf8())
                    assertEquals(bad.reason.status, answer.status().code())
                    assertEquals(ExecutionStatus.NOT_RUN, answer.refusal().ran)
                    assertEquals(0, harness.backends[0].sumOf { it.received.size })
                }
            }
        }

    private fun BadRequest.toRequest(): HttpRequest {
        val builder = RequestHeaders.builder(method, path).add(HttpHeaderNames.AUTHORIZATION, "Bearer $TEST_KEY")
        headers.forEach { (name, values) -> builder.set(name, values) }
        return HttpRequest.of(builder.build(), HttpData.ofUtf8(body))
    }

    @TestFactory
    fun `each of many concurrent requests gets its own complete answer`(): List<DynamicTest> =
        listOf("h1c", "h2c").map { protocol ->
            dynamicTest(protocol) {
                Harness(listOf(StageKind.ENCODE, StageKind.RERANK, StageKind.SERVICE)).use { harness ->
                    val random = Random(7)
                    harness.backends.flatten().forEach {
                        it.behavior = { StandInBehavior.Answer(synchronized(random) { random.nextLong(0, 30) }) }
                    }
                    val client = WebClient.builder("$protocol://127.0.0.1:${harness.server.port}").build()
                    val answers =
                        (1..200).associate { n ->
                            val headers =
                                RequestHeaders.of(HttpMethod.POST, "/v1/run", REQUEST_ID_HEADER, "r$n", "authorization", "Bearer $TEST_KEY")
                            "r$n" to client.execute(headers, """{"id":"r$n"}""").aggregate()
                        }
                    answers.forEach { (id, answer) ->
                        val text = answer.join().contentUtf8()
                        assertEquals(harness.expectedAnswer(id), text.replace(Regex("-[12]\""), "-1\""))
                        assertEquals(id, answer.join().headers().get(REQUEST_ID_HEADER))
                    }
                    assertEquals(0, Mismatch.entries.sumOf { harness.droppedAnswers(it) })
                }
            }
        }

    @Test
    fun `each stage gets the time that is left until the deadline`() {
        Harness(listOf(StageKind.ENCODE, StageKind.RERANK), deadlineMs = 5_000).use { harness ->
            harness.backends[0].forEach { it.behavior = { StandInBehavior.Answer(100) } }
            harness.call("r1") { it.add(DEADLINE_HEADER, "2000") }
            val deadlines = harness.backends.map { stage -> stage.flatMap { it.received }.single().deadlineMs ?: 0 }
            assertTrue(deadlines[0] in 1_000..2_000 && deadlines[1] in 500..deadlines[0] - 100, "$deadlines")
        }
    }

    @Test
    fun `a caller that disconnects cancels its request`() {
        Harness(deadlineMs = 60_000).use { harness ->
            val callReceived = CountDownLatch(1)
            harness.backends[0].forEach { backend ->
                backend.behavior = {
                    callReceived.countDown()
                    StandInBehavior.Hang
                }
            }
            val response = harness.send("r1")
            val answer = response.aggregate()
            assertTrue(callReceived.await(10, TimeUnit.SECONDS))
            response.abort()
            eventually("the backend server did not see the cancellation") { harness.backends[0].sumOf { it.cancelled.get() } == 1 }
            eventually("the request is still running") { harness.server.runningCount == 0 }
            assertTrue(answer.isCompletedExceptionally)
        }
    }

    @Test
    fun `the two refusals with status 429 can be distinguished`() {
        val workspace = WorkspaceSpec(WorkspaceId("w1"), rateMilliPerS = 1, burst = 2, maxRunning = 1)
        Harness(workspace = workspace).use { harness ->
            val callReceived = CountDownLatch(1)
            harness.backends[0].forEach { backend ->
                backend.behavior = {
                    callReceived.countDown()
                    StandInBehavior.Answer(if (it.requestId == "r1") 500 else 0)
                }
            }
            val first = harness.send("r1").aggregate()
            assertTrue(callReceived.await(10, TimeUnit.SECONDS))
            val concurrency = harness.call("r2")
            first.join()
            assertEquals(200, harness.call("r3").status().code(), "a request refused without running is not charged to the rate")
            val rate = harness.call("r4")
            assertEquals(listOf(429, 429), listOf(concurrency, rate).map { it.status().code() })
            assertEquals(listOf("concurrency-limited", "rate-limited"), listOf(concurrency, rate).map { it.headers().get(REFUSAL_HEADER) })
            assertEquals(listOf(null, "0"), listOf(concurrency, rate).map { it.headers().get(RATE_REMAINING_HEADER) })
            assertEquals("1000", rate.headers().get(HttpHeaderNames.RETRY_AFTER))
        }
    }

    @Test
    fun `a non-idempotent request that is sent repeatedly runs once`() {
        Harness(listOf(StageKind.SERVICE), idempotent = false).use { harness ->
            harness.backends[0].forEach { it.behavior = { StandInBehavior.Answer(20) } }
            val answers = (1..20).map { harness.send("r1").aggregate() }.map { it.join() } + harness.call("r1")
            assertEquals(1, answers.count { it.status().code() == 200 })
            assertEquals(1, harness.backends[0].sumOf { it.runsOf("r1") })
            val refusals = answers.filter { it.status().code() != 200 }.map { it.refusal() }
            assertTrue(refusals.all { it.ran == ExecutionStatus.UNKNOWN && it.reason.name.startsWith("DUPLICATE") }, "$refusals")
        }
    }

    @Test
    fun `a non-idempotent request that did not run may be sent again`() {
        Harness(listOf(StageKind.SERVICE), idempotent = false).use { harness ->
            harness.publish { base -> base.copy(backends = base.backends.map { it.copy(leaving = true) }) }
            assertEquals(RefusalReason.NO_BACKEND to ExecutionStatus.NOT_RUN, harness.call("r1").refusal().let { it.reason to it.ran })
            harness.publish { it }
            assertEquals(200, harness.call("r1").status().code())
        }
    }

    @TestFactory
    fun `a domain or backend server that is taken out of service gets no new calls`(): List<DynamicTest> =
        listOf("domain", "backend").map { what ->
            dynamicTest(what) {
                Harness(listOf(StageKind.ENCODE, StageKind.RERANK)).use { harness ->
                    harness.backends[0].forEach { backend ->
                        backend.behavior = {
                            harness.publish { base ->
                                if (what == "domain") {
                                    base.copy(domains = base.domains.map { it.copy(out = it.id.value == "fd1") })
                                } else {
                                    base.copy(backends = base.backends.map { it.copy(leaving = it.domain.value == "fd1") })
                                }
                            }
                            StandInBehavior.Answer()
                        }
                    }
                    (1..5).forEach { assertEquals(200, harness.call("r$it").status().code()) }
                    assertEquals(0, harness.backends[1][0].received.size, "calls sent to the backend server that is out of service")
                    assertEquals(5, harness.backends[1][1].received.size)
                    assertEquals(1, harness.backends[0][0].received.size, "calls sent before the change")
                }
            }
        }
}
