package io.monsoonpath.app.load

import io.monsoonpath.app.standin.StandInPlatform
import io.monsoonpath.model.ValidationResult
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.math.sqrt
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class LoadPlanTest {
    private val flow = Flow("a", "/v1/x", ratePerS = 50.0, deadlineMs = 100)
    private val plan =
        LoadPlan(seed = 3, durationMs = 100_000, targets = listOf("http://127.0.0.1:1"), flows = listOf(flow, flow.copy(name = "b")))

    @Test
    fun `arrivals are in order, repeatable, independent between flows and come at the planned rate`() {
        val arrivals = plan.arrivals()
        assertEquals(arrivals, plan.arrivals())
        assertEquals(arrivals.sortedBy { it.atMs }, arrivals)
        val (a, b) = plan.flows.map { flow -> arrivals.filter { it.flow.name == flow.name }.map { it.atMs } }
        val expected = flow.ratePerS * plan.durationMs / 1_000
        listOf(
            a,
            b,
        ).forEach { assertTrue(it.size in expected.plusOrMinus(5 * sqrt(expected)), "${it.size} arrivals, expected about $expected") }
        assertEquals(0, a.intersect(b.toSet()).size)
    }

    private fun Double.plusOrMinus(margin: Double) = (this - margin).toInt()..(this + margin).toInt()

    private class Case(
        val name: String,
        val text: String,
        val path: String,
    )

    private val invalidPlans =
        listOf(
            Case("no flow", """{"durationMs": 1, "targets": ["t"], "flows": []}""", "$.flows"),
            Case("no target", """{"durationMs": 1, "targets": [], "flows": [$FLOW_JSON]}""", "$.targets"),
            Case("duration of zero", """{"durationMs": 0, "targets": ["t"], "flows": [$FLOW_JSON]}""", "$.durationMs"),
            Case("same name twice", """{"durationMs": 1, "targets": ["t"], "flows": [$FLOW_JSON, $FLOW_JSON]}""", "$.flows"),
            Case(
                "rate of zero",
                """{"durationMs": 1, "targets": ["t"], "flows": [${FLOW_JSON.replace("5", "0")}]}""",
                "$.flows[0].ratePerS",
            ),
            Case("unknown field", """{"durationS": 1, "targets": ["t"], "flows": [$FLOW_JSON]}""", "$"),
        )

    @TestFactory
    fun `an invalid plan is reported with the path of the invalid field`(): List<DynamicTest> =
        invalidPlans.map { case ->
            dynamicTest(case.name) {
                assertTrue(assertIs<ValidationResult.Invalid>(readLoadPlan(case.text)).problems.any { it.path == case.path })
            }
        }

    @Test
    fun `every request of a run is counted once even if the error response contains no refusal`() {
        StandInPlatform().start().use { server ->
            val shortPlan = plan.copy(durationMs = 400, targets = listOf(server.url))
            val report = LoadReport(LoadRunner(shortPlan, emptyMap(), "t").run().summaries(), emptyList())
            val text = report.toText()
            assertEquals(0.0, report.worstAttainment)
            val sent = shortPlan.arrivals().count { it.flow.name == "a" }
            assertContains(text, "a: $sent failed: status 404 without a refusal")
            assertContains(report.toSvg(), "<svg")
        }
    }

    private companion object {
        const val FLOW_JSON = """{"name": "f", "path": "/p", "ratePerS": 5, "deadlineMs": 9}"""
    }
}
