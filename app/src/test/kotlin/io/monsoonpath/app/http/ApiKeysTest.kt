package io.monsoonpath.app.http

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.RequestHeadersBuilder
import io.monsoonpath.app.standin.StandInBehavior
import io.monsoonpath.model.EventRecord
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.StageKind
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.slf4j.LoggerFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests authentication by API keys, and that a key is never disclosed. */
class ApiKeysTest {
    private class Case(
        val name: String,
        val authorization: String?,
        val path: String = "/v1/run",
        val reason: RefusalReason? = null,
    )

    private val cases =
        listOf(
            Case("the valid key", "Bearer $TEST_KEY"),
            Case("the scheme in lower case", "bearer $TEST_KEY"),
            Case("no key", null, reason = RefusalReason.KEY_MISSING),
            Case("an empty key", "Bearer ", reason = RefusalReason.KEY_INVALID),
            Case("an unknown key id", "Bearer k2.correct-horse-battery", reason = RefusalReason.KEY_INVALID),
            Case("a wrong secret", "Bearer k1.wrong", reason = RefusalReason.KEY_INVALID),
            Case("the key id without a secret", "Bearer k1", reason = RefusalReason.KEY_INVALID),
            Case("the valid key with an extra character", "Bearer ${TEST_KEY}x", reason = RefusalReason.KEY_INVALID),
            Case("an open route without a key", null, "/v1/open"),
            Case("an open route with an invalid key", "Bearer nonsense", "/v1/open"),
        )

    @TestFactory
    fun `a request runs only with a valid key or on an open route`(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest(case.name) {
                Harness().use { harness ->
                    val answer = harness.call("r1", case.path) { it.authorization(case.authorization) }
                    if (case.reason == null) {
                        assertEquals(harness.expectedAnswer("r1"), answer.contentUtf8())
                    } else {
                        assertEquals(case.reason, answer.refusal().reason)
                        harness.assertRanIsAccurate("r1", answer.refusal())
                    }
                }
            }
        }

    @Test
    fun `no backend server, event, answer or log line contains the key`() {
        val kinds = listOf(StageKind.ENCODE, StageKind.RERANK, StageKind.GENERATE)
        Harness(kinds).use { harness ->
            harness.backends[1][0].behavior = { StandInBehavior.FailAfterRun }
            val log =
                captureLog {
                    val answers =
                        listOf(
                            harness.call("r1"),
                            harness.stream("r2"),
                            harness.call("r3", "/v1/open"),
                            harness.call("r4", "/v1/none?key=$TEST_KEY"),
                        ) +
                            callsWithMisplacedKey(harness)
                    answers.forEach { assertFalse(SECRET in it.contentUtf8() || SECRET in it.headers().toString(), it.contentUtf8()) }
                }
            assertTrue("refused" in log, "the log must be captured")
            assertFalse(SECRET in log, "the log contains the key")
            val received = harness.backends.flatten().flatMap { it.received }
            assertTrue(received.size >= 9, "too few calls to check: ${received.size}")
            received.forEach { assertFalse(SECRET in it.bytes.decodeToString(), it.bytes.decodeToString()) }
            harness.events.after(0).forEach { assertFalse(SECRET in Json.encodeToString(EventRecord.serializer(), it), "$it") }
        }
    }

    private fun callsWithMisplacedKey(harness: Harness) =
        listOf(
            harness.call("r5") { it.add("cookie", "key=$TEST_KEY").add("x-extra", TEST_KEY) },
            harness.call("r6", "/v1/run?key=$TEST_KEY"),
            harness.call("r7", "/v1/$TEST_KEY"),
            harness.call(TEST_KEY),
            harness.send("r8", body = """{"text":"$TEST_KEY"}""").aggregate().join(),
        )

    @Test
    fun `a withdrawn key is refused on a connection that is already open`() {
        Harness().use { harness ->
            assertEquals(200, harness.call("r1").status().code())
            harness.publish { base -> base.copy(keys = base.keys.map { it.copy(withdrawn = true) }) }
            assertEquals(RefusalReason.KEY_WITHDRAWN, harness.call("r2").refusal().reason)
            harness.publish { it.copy(keys = emptyList()) }
            assertEquals(RefusalReason.KEY_INVALID, harness.call("r3").refusal().reason)
            assertEquals(0, harness.callsReceived("r2", 0) + harness.callsReceived("r3", 0))
        }
    }

    @Test
    fun `a key withdrawn between two stages stops the request before the next stage`() {
        Harness(listOf(StageKind.ENCODE, StageKind.RERANK)).use { harness ->
            harness.backends[0].forEach { backend ->
                backend.behavior = {
                    harness.publish { base -> base.copy(keys = base.keys.map { it.copy(withdrawn = true) }) }
                    StandInBehavior.Answer()
                }
            }
            val refusal = harness.call("r1").refusal()
            assertEquals(RefusalReason.KEY_WITHDRAWN, refusal.reason)
            assertEquals(0, harness.callsReceived("r1", 1))
            harness.assertRanIsAccurate("r1", refusal)
        }
    }

    private fun RequestHeadersBuilder.authorization(value: String?) {
        remove(HttpHeaderNames.AUTHORIZATION)
        value?.let { add(HttpHeaderNames.AUTHORIZATION, it) }
    }

    private companion object {
        const val SECRET = "correct-horse-battery"
    }
}

/** Returns the log lines of all levels that are written while [block] runs. */
private fun captureLog(block: () -> Unit): String {
    val appender = ListAppender<ILoggingEvent>()
    val logger = LoggerFactory.getLogger("io.monsoonpath") as Logger
    appender.start()
    logger.addAppender(appender)
    logger.level = Level.ALL
    try {
        block()
    } finally {
        logger.detachAppender(appender)
        logger.level = null
    }
    return appender.list.joinToString("\n") { "${it.formattedMessage} ${it.keyValuePairs} ${it.throwableProxy?.message}" }
}
