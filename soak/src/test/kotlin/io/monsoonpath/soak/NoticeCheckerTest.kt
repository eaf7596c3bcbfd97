package io.monsoonpath.soak

import io.monsoonpath.platform.ReceivedRequest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Traces of requests that follow what workers have stated, and traces that don't. */
class NoticeCheckerTest {
    /** The requests, arrivals and disruptions of a run, in which each request has an id of its own. */
    private class Trace {
        val requests = ArrayList<CompletedRequest>()
        val arrivals = ArrayList<Arrival>()
        val executions = ArrayList<Execution>()
        val disruptions = Disruptions()

        /** Adds a request that [instance] sent to [worker], and whose answer is complete unless [isComplete] is false. */
        fun add(
            sentAtMs: Long,
            arrivedAtMs: Long = sentAtMs + 10,
            endedAtMs: Long = arrivedAtMs + 10,
            instance: String = "entry-0",
            worker: String = "w-1",
            waitMs: Long? = null,
            isLeaving: Boolean = false,
            isComplete: Boolean = true,
        ) {
            val id = "r-${requests.size}"
            arrivals += Arrival(worker, id, arrivedAtMs, waitMs)
            val answer = WorkerAnswer(200, "signature of $id", bodyOf(id), isLeaving)
            if (waitMs == null) executions += Execution(worker, ReceivedRequest("", emptyMap(), id), arrivedAtMs, answer)
            val result =
                when {
                    !isComplete -> CallerResult.Incomplete("closed")
                    waitMs != null -> CallerResult.Response(503, "", signature = null)
                    else -> CallerResult.Response(answer.status, answer.body, answer.signature)
                }
            requests += CompletedRequest(id, RequestKind.UNSAFE, instance, "key", isFatal = false, sentAtMs, endedAtMs, result)
        }

        /** Adds a refusal at 1,000 ms with a wait of [waitMs], and requests that arrive at [arrivalsMs]. */
        fun addRefusal(
            waitMs: Long,
            vararg arrivalsMs: Long,
            instance: String = "entry-0",
            worker: String = "w-1",
        ) {
            add(990, arrivedAtMs = 1_000, waitMs = waitMs)
            arrivalsMs.forEach { add(it - 10, arrivedAtMs = it, instance = instance, worker = worker) }
        }

        /** Adds an answer with which w-1 says that it is leaving, passed on at 1,000 ms. */
        fun addLeaving(isComplete: Boolean = true) = add(980, endedAtMs = 1_000, isLeaving = true, isComplete = isComplete)

        fun violations() = NoticeChecker(arrivals, executions, disruptions).violations(requests)
    }

    private class Case(
        val name: String,
        /** The beginnings of the violations. */
        val violations: List<String>,
        val build: Trace.() -> Unit,
    )

    private val cases =
        listOf(
            Case("a request after the drain", listOf(DRAIN)) {
                addLeaving()
                add(3_001)
            },
            Case("a refused request after the drain", listOf(DRAIN)) {
                addLeaving()
                add(3_001, waitMs = 100)
            },
            Case("two requests after the drain", listOf(DRAIN, DRAIN)) {
                addLeaving()
                add(3_001)
                add(9_000)
            },
            Case("a request sent within the drain that arrives later", emptyList()) {
                addLeaving()
                add(3_000, arrivedAtMs = 4_500)
            },
            Case("a request to another worker after the drain", emptyList()) {
                addLeaving()
                add(3_001, worker = "w-2")
            },
            Case("a request of an instance that passed on nothing", emptyList()) {
                addLeaving()
                add(3_001, instance = "entry-1")
            },
            Case("an answer that was not passed on", emptyList()) {
                addLeaving(isComplete = false)
                add(3_001)
            },
            Case("an answer without the notice", emptyList()) {
                add(980)
                add(3_001)
            },
            Case("a restart after the notice", emptyList()) {
                addLeaving()
                disruptions.record("entry-0", 1_500, 2_000)
                add(3_001)
            },
            Case("a freeze that ends after the request was sent", emptyList()) {
                addLeaving()
                disruptions.record("entry-0", 2_900, 3_500)
                add(3_001, arrivedAtMs = 3_600)
            },
            Case("a restart before the notice", listOf(DRAIN)) {
                disruptions.record("entry-0", 100, 400)
                addLeaving()
                add(3_001)
            },
            Case("a restart after the request", listOf(DRAIN)) {
                addLeaving()
                add(3_001, arrivedAtMs = 3_010)
                disruptions.record("entry-0", 3_011, 4_000)
            },
            Case("a restart of another instance", listOf(DRAIN)) {
                addLeaving()
                disruptions.record("entry-1", 1_500, 2_000)
                add(3_001)
            },
            Case("a cut of the link to the worker excuses no request after the drain", listOf(DRAIN)) {
                addLeaving()
                disruptions.record("w-1", 1_500, 2_000)
                add(3_001)
            },
            Case("a second notice after a restart", listOf(DRAIN)) {
                addLeaving()
                disruptions.record("entry-0", 1_500, 2_000)
                add(5_000, endedAtMs = 5_020, isLeaving = true)
                add(7_021)
            },
            Case("three requests during the wait", listOf(BUDGET)) { addRefusal(2_000, 1_501, 2_000, 2_999) },
            Case("two requests during the wait", emptyList()) { addRefusal(2_000, 1_501, 2_999) },
            Case("requests on their way, and after the wait", emptyList()) { addRefusal(2_000, 1_100, 1_300, 1_500, 1_501, 1_502, 3_000) },
            Case("a wait shorter than half a second", emptyList()) { addRefusal(400, 1_501, 1_502, 1_503) },
            Case("requests to another worker during the wait", emptyList()) { addRefusal(2_000, 1_501, 1_502, 1_503, worker = "w-2") },
            Case(
                "requests of another instance during the wait",
                emptyList(),
            ) { addRefusal(2_000, 1_501, 1_502, 1_503, instance = "entry-1") },
            Case("three refused requests during the wait", listOf(BUDGET)) {
                addRefusal(2_000)
                repeat(3) { add(1_600, waitMs = 100) }
            },
            Case("a restart during the wait", emptyList()) {
                addRefusal(2_000, 1_801, 1_802, 1_803)
                disruptions.record("entry-0", 1_200, 1_800)
            },
            Case("a restart after three requests during the wait", listOf(BUDGET)) {
                addRefusal(2_000, 1_501, 1_502, 1_503)
                disruptions.record("entry-0", 1_504, 1_900)
            },
            Case("a cut of the link when the worker refuses", emptyList()) {
                disruptions.record("w-1", 900, 1_000)
                addRefusal(2_000, 1_501, 1_502, 1_503)
            },
            Case("a cut of the link after the refusal has arrived", listOf(BUDGET)) {
                disruptions.record("w-1", 1_501, 1_502)
                addRefusal(2_000, 1_503, 1_504, 1_505)
            },
            Case("a cut of the link to another worker", listOf(BUDGET)) {
                disruptions.record("w-2", 900, 1_000)
                addRefusal(2_000, 1_501, 1_502, 1_503)
            },
        )

    @TestFactory
    fun `requests after a notice are found`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val violations = Trace().apply(case.build).violations()
                assertEquals(case.violations, violations.map { it.substringBefore(':') }, "$violations")
            }
        }

    @Test
    fun `a wait is written in seconds`() {
        val headers = listOf(600L, 1_000L, 2_375L, 10_000L).map { retryAfterHeader(it) }
        assertEquals(listOf("0.6", "1", "2.375", "10").map { "Retry-After: $it\r\n" }, headers)
    }

    @Test
    fun `notices follow from the seed and differ between seeds`() {
        assertEquals(scheduleNotices(seed = 1, workers = 4), scheduleNotices(seed = 1, workers = 4))
        assertNotEquals(scheduleNotices(seed = 1, workers = 4), scheduleNotices(seed = 2, workers = 4))
        val notices = (1L..20L).flatMap { scheduleNotices(it, workers = 4) }
        assertTrue(notices.any { it.notice is Notice.Leaving } && notices.any { it.notice is Notice.Refusing })
    }

    private companion object {
        const val DRAIN = "DRAIN"
        const val BUDGET = "BUDGET"
    }
}
