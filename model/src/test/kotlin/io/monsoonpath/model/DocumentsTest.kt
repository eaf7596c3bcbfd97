package io.monsoonpath.model

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class DocumentsTest {
    private class Case(
        val name: String,
        val old: String,
        val new: String,
        val path: String,
    )

    private val badConfigurations =
        listOf(
            Case("unknown field", "\"keys\"", "\"keyz\"", "$"),
            Case("revision zero", "\"revision\": 7", "\"revision\": 0", "$.revision"),
            Case("string instead of a number", "\"revision\": 7", "\"revision\": \"x\"", "$.revision"),
            Case("unknown pool", "\"pool\": \"encoders\", \"domain\"", "\"pool\": \"p\", \"domain\"", "$.backends[0].pool"),
            Case("unknown domain", "\"domain\": \"fd1\"", "\"domain\": \"fd2\"", "$.backends[0].domain"),
            Case("cold load above full load", "\"coldLoad\": 1", "\"coldLoad\": 9", "$.backends[0].coldLoad"),
            Case("host name instead of an IP address", "127.0.0.1:9101", "example:9101", "$.backends[0].url"),
            Case("port out of range", "127.0.0.1:9101", "127.0.0.1:99999", "$.backends[0].url.port"),
            Case("kind differs from pool", "\"id\": \"encode\", \"kind\": \"encode\"", "\"id\": \"e\", \"kind\": \"rerank\"", KIND_PATH),
            Case("deadline of zero", "\"deadlineMs\": 2000", "\"deadlineMs\": 0", "$.pipelines[0].deadlineMs"),
            Case("unknown pipeline", "\"pipeline\": \"tag\"", "\"pipeline\": \"no\"", "$.routes[0].pipeline"),
            Case("rate of zero", "\"rateMilliPerS\": 5000", "\"rateMilliPerS\": 0", "$.workspaces[0].rateMilliPerS"),
            Case("no stages", STAGES, "\"stages\": []", "$.pipelines[0].stages.size"),
            Case("truncated document", "\"keys\": []\n}", "", "$.workspaces"),
        )

    @TestFactory
    fun `invalid configurations are rejected as a whole with the path of the error`(): List<DynamicTest> =
        badConfigurations.map { case -> dynamicTest(case.name) { assertProblemAt(case, SAMPLE_CONFIGURATION, ::readConfiguration) } }

    private val badSettings =
        listOf(
            Case("unknown field", "\"region\"", "\"regoin\"", "$"),
            Case("missing field", "\"platformUrl\": \"http://127.0.0.1:8500\",", "", "$"),
            Case("port out of range", "\"port\": 8080", "\"port\": 80800", "$.caller.port"),
            Case(
                "host name instead of an IP address",
                "\"host\": \"127.0.0.1\", \"port\": 8081",
                "\"host\": \"localhost\", \"port\": 8081",
                "$.peer.host",
            ),
            Case("blank secret file", "peer.secret", " ", "$.peerSecretFile"),
            Case("wrong unit", "\"instance\": \"e1\",", "\"instance\": \"e1\", \"timing\": {\"rightS\": 3},", "$.timing"),
        )

    @TestFactory
    fun `invalid settings are rejected with the path of the error`(): List<DynamicTest> =
        badSettings.map { case -> dynamicTest(case.name) { assertProblemAt(case, SAMPLE_SETTINGS, ::readSettings) } }

    @Test
    fun `a valid configuration is unchanged after encoding and decoding`() {
        val first = assertIs<ValidationResult.Valid<Configuration>>(readConfiguration(SAMPLE_CONFIGURATION)).document
        val text = DocumentJson.encodeToString(Configuration.serializer(), first)
        assertEquals(first, assertIs<ValidationResult.Valid<Configuration>>(readConfiguration(text)).document)
    }

    @Test
    fun `deep nesting is rejected before parsing`() {
        val problems = assertIs<ValidationResult.Invalid>(readConfiguration("[".repeat(100_000))).problems
        assertTrue("levels deep" in problems.single().rule)
    }

    private fun <T> assertProblemAt(
        case: Case,
        sample: String,
        read: (String) -> ValidationResult<T>,
    ) {
        assertTrue(case.old in sample, "the sample does not contain the text to replace")
        val problems = assertIs<ValidationResult.Invalid>(read(sample.replace(case.old, case.new))).problems
        assertTrue(problems.any { it.path == case.path }, "expected ${case.path} among $problems")
    }

    private companion object {
        const val KIND_PATH = "$.pipelines[0].stages[0].kind"
        const val STAGES = "\"stages\": [{\"id\": \"encode\", \"kind\": \"encode\", \"pool\": \"encoders\", \"path\": \"/encode\"}]"
    }
}
