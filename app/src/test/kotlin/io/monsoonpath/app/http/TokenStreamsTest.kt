package io.monsoonpath.app.http

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.MediaType
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.app.standin.StandInBehavior.Tokens
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests token streams to callers: a stream is complete and in order, or ends with an error. */
class TokenStreamsTest {
    /**
     * @property first what the first engine does
     * @property second what the second engine does
     * @property tokens the number of tokens that arrive
     * @property hasEnd whether the end event arrives; otherwise the stream ends with an error event
     * @property resumedFrom the index of the token from which the second engine resumes, or null if it is not called
     */
    private class Case(
        val name: String,
        val first: StandInBehavior,
        val second: StandInBehavior = Tokens(TOKEN_COUNT),
        val tokens: Long = TOKEN_COUNT,
        val hasEnd: Boolean = true,
        val resumedFrom: Long? = null,
    )

    private val cases =
        listOf(
            Case("complete", Tokens(TOKEN_COUNT)),
            Case("no tokens", Tokens(0), tokens = 0),
            Case("a token is repeated", Tokens(TOKEN_COUNT, repeat = 4)),
            Case("a token is skipped", Tokens(TOKEN_COUNT, skip = 4), resumedFrom = 4),
            Case("dies before the first token", Tokens(TOKEN_COUNT, failBefore = 0), resumedFrom = 0),
            Case("dies in the middle", Tokens(TOKEN_COUNT, failBefore = 7), resumedFrom = 7),
            Case("the end is missing", Tokens(TOKEN_COUNT, hasEnd = false), resumedFrom = TOKEN_COUNT),
            Case("the last token is skipped", Tokens(TOKEN_COUNT, skip = TOKEN_COUNT - 1), resumedFrom = TOKEN_COUNT - 1),
            Case(
                "both die",
                Tokens(TOKEN_COUNT, failBefore = 7),
                Tokens(TOKEN_COUNT, failBefore = 9),
                tokens = 9,
                hasEnd = false,
                resumedFrom = 7,
            ),
            Case(
                "the second one hangs",
                Tokens(TOKEN_COUNT, failBefore = 7),
                StandInBehavior.Hang,
                tokens = 7,
                hasEnd = false,
                resumedFrom = 7,
            ),
        )

    @TestFactory
    fun `each token arrives once and in order, and an interrupted stream has no end event`(): List<DynamicTest> =
        cases.map { case -> dynamicTest(case.name) { verify(case) } }

    private fun verify(case: Case) {
        Harness(listOf(StageKind.RETRIEVE, StageKind.GENERATE), deadlineMs = 1_500).use { harness ->
            val engines = harness.backends[1]
            engines[0].behavior = { case.first }
            engines[1].behavior = { case.second }
            val events = parseEvents(harness.stream("r1").contentUtf8())
            val tokens = events.filter { it.name == "token" }
            assertEquals((0 until case.tokens).map { """{"index":$it,"text":"t$it"}""" }, tokens.map { it.data })
            assertEquals((0 until case.tokens).map { it.toString() }, tokens.map { it.id })
            assertEquals(case.resumedFrom, engines[1].received.firstOrNull()?.resumeFrom)
            val last = events.last()
            if (case.hasEnd) {
                assertEquals(
                    "end" to """{"count":$TOKEN_COUNT}""".takeIf { case.tokens > 0 },
                    last.name to last.data.takeIf { case.tokens > 0 },
                )
            }
            if (!case.hasEnd) assertTrue(last.name == "error" && "\"ran\":\"unknown\"" in last.data, "$last")
            assertEquals(1, events.count { it.name != "token" }, "there must be exactly one end or error event")
        }
    }

    @Test
    fun `a refusal before the first token is an ordinary response`() {
        Harness(listOf(StageKind.GENERATE)).use { harness ->
            harness.disconnect(0, 2)
            val answer = harness.stream("r1")
            assertEquals(502, answer.status().code())
            assertEquals(RefusalReason.BACKEND_FAILED, answer.refusal().reason)
        }
    }

    @Test
    fun `a caller that does not ask for a stream gets a single response`() {
        Harness(listOf(StageKind.GENERATE)).use { assertEquals(it.expectedAnswer("r1"), it.call("r1").contentUtf8()) }
    }

    @Test
    fun `a withdrawn key ends a stream with an error event`() {
        Harness(listOf(StageKind.GENERATE), deadlineMs = 60_000).use { harness ->
            harness.backends[0].forEach { it.behavior = { Tokens(100_000, tokenMs = 20) } }
            val body = BodyReader(harness.openStream("r1"))
            body.awaitStart()
            harness.publish { base -> base.copy(keys = base.keys.map { it.copy(withdrawn = true) }) }
            val events = parseEvents(body.await())
            assertEquals("error", events.last().name)
            assertTrue(
                "\"reason\":\"key-withdrawn\"" in events.last().data && "\"ran\":\"unknown\"" in events.last().data,
                "${events.last()}",
            )
            assertFalse(events.any { it.name == "end" })
            eventually("the engine did not see the cancellation") { harness.backends[0].sumOf { it.cancelled.get() } == 1 }
        }
    }

    private companion object {
        const val TOKEN_COUNT = 20L
    }
}

/** Represents a server-sent event that the caller received. */
internal data class ReceivedEvent(
    val id: String?,
    val name: String,
    val data: String,
)

internal fun Harness.openStream(id: String) = send(id) { it.add(HttpHeaderNames.ACCEPT, MediaType.EVENT_STREAM.toString()) }

internal fun Harness.stream(id: String) = openStream(id).aggregate().join()

internal fun parseEvents(text: String): List<ReceivedEvent> =
    text.split("\n\n").filter { it.isNotBlank() }.map { block ->
        val fields = block.lines().associate { it.substringBefore(':') to it.substringAfter(':').trim() }
        ReceivedEvent(fields["id"], fields["event"].orEmpty(), fields["data"].orEmpty())
    }
