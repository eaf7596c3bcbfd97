package io.monsoonpath.policy.deadline

import io.monsoonpath.policy.deadline.ShutdownAdmission.Companion.CALL_DEVIATIONS
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that arrived three seconds after the begin of a shutdown were cut off at its end. */
class ShutdownAdmissionTest {
    private class Case(
        val name: String,
        val durationsMs: List<Long>,
        val endsAtMs: Long?,
        val canComplete: Boolean,
    )

    private val cases =
        listOf(
            Case("no shutdown", listOf(9_000), null, true),
            Case("a short request", List(20) { 100 }, 1_000, true),
            Case("a request that takes longer than the process has left", List(20) { 3_000 }, 1_000, false),
            Case("a request that sometimes takes longer", List(20) { if (it % 4 == 0) 2_000 else 300 }, 1_000, false),
            Case("nothing is known and the limit is longer", emptyList(), 1_000, false),
            Case("nothing is known and the limit is shorter", emptyList(), 6_000, true),
        )

    @TestFactory
    fun `requests that would outlive the process are not begun`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val admission = ShutdownAdmission()
                case.endsAtMs?.let { admission.begin(it, lateFromMs = Long.MAX_VALUE) }
                case.durationsMs.forEach { admission.record("r", it) }
                assertEquals(case.canComplete, admission.canComplete("r", longestMs = 5_000, nowMs = 0, CALL_DEVIATIONS, receivedAtMs = 0))
            }
        }

    private class LateCase(
        val name: String,
        val receivedAtMs: Long,
        val nowMs: Long,
        val longestMs: Long,
        val isBegun: Boolean,
    )

    /** Requests that came late in the grace period were begun, took longer than most, and were cut off at its end. */
    @TestFactory
    fun `a request that arrives late is begun only if it ends in time for certain`() =
        listOf(
            LateCase("early", 2_000, 2_000, 20_000, isBegun = true),
            LateCase("early, with its call late", 2_000, 6_000, 20_000, isBegun = true),
            LateCase("late, and it may take longer than the process has left", 3_000, 3_000, 20_000, isBegun = false),
            LateCase("late, and its caller leaves before the end", 3_000, 3_000, 1_500, isBegun = true),
            LateCase("very late", 6_500, 6_500, 1_500, isBegun = false),
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val admission = ShutdownAdmission()
                repeat(20) { admission.record("r", 100) }
                admission.begin(endsAtMs = 7_400, lateFromMs = 2_500)
                val isBegun = admission.canComplete("r", case.longestMs, case.nowMs, CALL_DEVIATIONS, case.receivedAtMs)
                assertEquals(case.isBegun, isBegun)
            }
        }

    /** The numbers of requests that arrived, were begun and were cut off in a shutdown. */
    private class Counts(
        val arrived: Int,
        val begun: Int,
        val cut: Int,
    )

    /** Runs a shutdown that ends at 7,400 ms, in which 400 requests arrive during [arrivalsMs] and take times of a lognormal distribution. */
    private fun shutDown(
        seed: Long,
        medianMs: Int,
        sigma: Double,
        maxDurationMs: Long,
        arrivalsMs: LongRange,
        lateFromMs: Long,
    ): Counts {
        val random = java.util.Random(seed)
        val admission = ShutdownAdmission()
        val nextDurationMs = { (medianMs * Math.exp(sigma * random.nextGaussian())).toLong().coerceAtMost(maxDurationMs) }
        repeat(200) { admission.record("r", nextDurationMs()) }
        admission.begin(END_MS, lateFromMs)
        val arrivals = Random(seed).let { times -> List(400) { times.nextLong(arrivalsMs.first, arrivalsMs.last) } }
        val begun = arrivals.filter { admission.canComplete("r", maxDurationMs, it, CALL_DEVIATIONS, receivedAtMs = it) }
        return Counts(arrivals.size, begun.size, begun.count { it + nextDurationMs() > END_MS })
    }

    @TestFactory
    fun `no request that arrives late is cut off`() =
        (1L..20L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val counts = shutDown(seed, 300, 0.8, maxDurationMs = 1_500, arrivalsMs = 2_500..END_MS, lateFromMs = 2_500)
                assertEquals(0, counts.cut)
                assertTrue(counts.begun >= counts.arrived * 0.5, "${counts.begun} of ${counts.arrived} begun")
            }
        }

    @TestFactory
    fun `few of the requests that are begun are cut off`() =
        (1L..20L).map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val counts = shutDown(seed, 1_500, 0.44, maxDurationMs = 20_000, arrivalsMs = 0..END_MS, lateFromMs = Long.MAX_VALUE)
                assertTrue(counts.cut <= counts.begun * 0.05, "${counts.cut} of ${counts.begun} cut")
                assertTrue(counts.begun >= counts.arrived * 0.25, "${counts.begun} of ${counts.arrived} begun")
            }
        }

    private companion object {
        const val END_MS = 7_400L
    }
}
