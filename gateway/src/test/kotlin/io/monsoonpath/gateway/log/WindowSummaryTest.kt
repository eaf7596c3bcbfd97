package io.monsoonpath.gateway.log

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class WindowSummaryTest {
    private class Case(
        val outcome: String,
        val end: String?,
    )

    private val cases =
        listOf(
            Case("answered", """"outcome":"answered","firstByteMs":100,"tookMs":900,"attempts":1"""),
            Case("answered late", """"outcome":"answered","firstByteMs":301,"tookMs":301,"attempts":1"""),
            Case("failed by the backend server", """"outcome":"answered-failure","tookMs":10,"attempts":1"""),
            Case("the caller left during an attempt", """"outcome":"caller-left","tookMs":10,"attempts":1"""),
            Case("the caller left before an attempt", """"outcome":"caller-left","tookMs":10,"attempts":0"""),
            Case("refused: OVERLOADED", """"outcome":"OVERLOADED","tookMs":1,"attempts":0"""),
            Case("given up: BACKEND_TIMED_OUT", """"outcome":"BACKEND_TIMED_OUT","tookMs":1500,"attempts":1"""),
            Case("broken off", """"outcome":"cut","tookMs":700,"attempts":2"""),
            Case("no end recorded", null),
        )

    private fun lines(vararg texts: String) = texts.mapNotNull { LogLine.parseOrNull("entry-1", it) }

    private fun begin(
        id: String,
        atMs: Long = 1_000,
    ) = """{"ts":$atMs,"event":"request.begun","request":"$id","route":"a","workspace":"w","targetMs":300}"""

    @TestFactory
    fun `each request is counted by what happened to it`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.outcome) {
                val end = case.end?.let { """{"ts":2500,"event":"request.ended","request":"r",$it}""" }
                val summary = summarize(TimeWindow(1_000, 2_000), lines(*listOfNotNull(begin("r"), end).toTypedArray()))
                assertEquals(2, summary.size)
                assertEquals(
                    case.outcome,
                    summary
                        .last()
                        .trim()
                        .split(Regex(" {2,}"))
                        .last()
                        .removePrefix("w")
                        .trim(),
                )
            }
        }

    @Test
    fun `requests outside of the window are left out, and the most frequent outcome is first`() {
        val ended = {
            id: String,
            outcome: String,
            ->
            """{"ts":3000,"event":"request.ended","request":"$id","outcome":"$outcome","attempts":0}"""
        }
        val summary =
            summarize(
                TimeWindow(1_000, 2_000),
                lines(
                    begin("before", 999),
                    begin("after", 2_000),
                    begin("r1"),
                    begin("r2"),
                    begin("r3"),
                    ended("r1", "OVERLOADED"),
                    ended("r2", "NO_BACKEND"),
                    ended("r3", "NO_BACKEND"),
                    """{"ts":1500,"event":"request.refused","request":"r4","refusal":"UNKNOWN_KEY"}""",
                ),
            )
        assertEquals(4, summary.size)
        assertContains(summary[1], "2   50.0%")
        assertContains(summary[1], "refused: NO_BACKEND")
        assertEquals(emptyList(), summarize(TimeWindow(5_000, 6_000), lines(begin("r1"))))
    }

    @TestFactory
    fun `windows are parsed or rejected with what was found`() =
        listOf("1", "1..", "2..1", "1..1", "x..2", "1..2..3").map { text ->
            DynamicTest.dynamicTest(text) {
                val error = assertFailsWith<IllegalArgumentException> { TimeWindow.parse(text) }
                assertContains(error.message.orEmpty(), text.substringBefore("..").ifEmpty { text }.take(1))
            }
        } +
            DynamicTest.dynamicTest("instants") {
                assertEquals(TimeWindow(0, 1_500), TimeWindow.parse("1970-01-01T00:00:00Z..1970-01-01T00:00:01.5Z"))
                assertEquals(TimeWindow(5, 7), TimeWindow.parse("5..7"))
            }
}
