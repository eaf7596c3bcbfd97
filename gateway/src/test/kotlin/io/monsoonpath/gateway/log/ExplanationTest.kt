package io.monsoonpath.gateway.log

import io.monsoonpath.model.RequestId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ExplanationTest {
    private class Case(
        val name: String,
        val texts: List<String>,
        val expectedText: String,
    )

    private val beginLine = """{"ts":20000,"event":"request.begun","request":"r","route":"a"}"""

    private val cases =
        listOf(
            Case(
                "refused at admission",
                listOf(
                    """{"ts":20000,"event":"request.not-admitted","request":"r","expectedMs":2342,"targetMs":2200,"waitsMs":"[0, 900]"}""",
                    """{"ts":20001,"event":"request.ended","request":"r","outcome":"OVERLOADED"}""",
                ),
                "see waitsMs for the wait of each stage",
            ),
            Case(
                "a stage could not start in time",
                listOf(
                    """{"ts":21000,"event":"stages.failed","request":"r","stage":1,"reason":"LATE"}""",
                    """{"ts":21000,"event":"request.ended","request":"r","outcome":"OVERLOADED"}""",
                ),
                "Stage 1 could not start in time",
            ),
            Case(
                "the backend server closed the connection",
                listOf(
                    """{"ts":20500,"event":"attempt.ended","request":"r","backend":"w-1","end":"LOST","detail":"CUT"}""",
                    """{"ts":20500,"event":"request.ended","request":"r","outcome":"BACKEND_FAILED"}""",
                ),
                "No complete answer from server w-1 (CUT)",
            ),
            Case("the instance died", emptyList(), "No line records the outcome"),
        )

    private fun lines(
        texts: List<String>,
        source: String = "entry-1",
    ) = texts.mapNotNull { LogLine.parseOrNull(source, it) }

    @TestFactory
    fun `the last line describes the outcome`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val explanation = explain(RequestId("r"), lines(listOf(beginLine) + case.texts))
                assertEquals(case.texts.size + 2, explanation.size)
                assertTrue(case.expectedText in explanation.last(), explanation.last())
            }
        }

    @Test
    fun `changes in the instance's view are listed among the lines of the request`() {
        val attempt = """{"ts":20400,"event":"attempt.ended","request":"r","backend":"w-1","end":"LOST","detail":"CUT"}"""
        val ownLines =
            lines(
                listOf(
                    """{"ts":9000,"event":"store.lost","prefix":"long ago"}""",
                    """{"ts":20300,"event":"backend.updated","backend":"w-1","state":"DRAINING"}""",
                    """{"ts":20350,"event":"backend.updated","backend":"w-2","state":"DRAINING"}""",
                    beginLine,
                    attempt,
                ),
            )
        val otherInstanceLines = lines(listOf("""{"ts":20100,"event":"store.lost","prefix":"op/"}"""), source = "entry-2")
        val explanation = explain(RequestId("r"), otherInstanceLines + ownLines)
        assertEquals(
            listOf("request.begun", "backend.updated", "attempt.ended"),
            explanation.dropLast(1).map { it.trim().split(Regex(" +"))[3] },
        )
    }

    @Test
    fun `text that is not a line of the log is ignored`() {
        assertNull(LogLine.parseOrNull("e", "OpenJDK 64-Bit Server VM warning"))
        assertNull(LogLine.parseOrNull("e", """{"event":"x"}"""))
        assertNull(LogLine.parseOrNull("e", """["ts"]"""))
        assertEquals(emptyList(), explain(RequestId("unknown"), lines(listOf(beginLine))))
    }
}
