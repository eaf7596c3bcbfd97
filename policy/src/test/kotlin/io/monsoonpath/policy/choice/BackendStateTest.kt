package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ValidationResult
import io.monsoonpath.model.readConfiguration
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class BackendStateTest {
    @ParameterizedTest
    @CsvSource("1, 0", "2, 0", "3, 1", "8, 2", "13, 4")
    fun `ejects at most a third of a pool`(
        servers: Int,
        ejected: Int,
    ) {
        val backends = List(servers) { failing("b$it") }
        assertEquals(ejected, OutlierEjection().update(backends, nowMs = 0).size)
    }

    @Test
    fun `doubles the ejection of a server that fails again`() {
        val backends = List(6) { warmBackend("b$it") } + failing("bad")
        val ejection = OutlierEjection()
        ejection.update(backends, nowMs = 0)
        ejection.update(backends, nowMs = 3_000)
        assertEquals(listOf(true, false), listOf(8_999L, 9_000L).map { backends.last().isEjected(it) })
    }

    @ParameterizedTest
    @CsvSource("0, 6.0", "2000, 6.0", "1000000, 6.0")
    fun `the own load counts in full at any age of the report`(
        ageMs: Long,
        expected: Double,
    ) {
        val backend = warmBackend("a").also { b -> repeat(6) { b.recordStart() } }
        backend.recordReport(report(inFlight = 2, receivedAtMs = 0, ownInFlight = 2))
        assertEquals(expected, backend.expectedLoad(ageMs, meanUtilisation = 0.0), absoluteTolerance = 1e-9)
    }

    @Test
    fun `a gap in cache events invalidates older hints`() {
        val hints = PrefixHints(16)
        hints.recordEvent(BackendId("a"), seq = 1, nowMs = 0)
        hints.recordStored(7, BackendId("a"), nowMs = 0)
        val holders = checkNotNull(hints.holdersOrNull(7))
        val before = hints.holdProbability(holders, BackendId("a"), nowMs = 30_000)
        hints.recordEvent(BackendId("a"), seq = 3, nowMs = 30_000)
        val after = hints.holdProbability(holders, BackendId("a"), nowMs = 30_000)
        assertEquals(listOf(0.5, 0.0), listOf(before, after))
    }

    @Test
    fun `an evicted prefix has no holders`() {
        val hints = PrefixHints(16)
        hints.recordStored(7, BackendId("a"), nowMs = 0)
        hints.recordEvicted(7, BackendId("a"))
        assertNull(hints.holdersOrNull(7))
    }

    private class SendCase(
        val name: String,
        val expected: SendRefusal?,
        val backend: String = "b1",
        val change: (Configuration) -> Configuration = { it },
    )

    @TestFactory
    fun `checks each send against the configuration`() =
        listOf(
            SendCase("backend in service", null),
            SendCase("unknown backend", SendRefusal.UNKNOWN_BACKEND, backend = "b9"),
            SendCase("backend leaving", SendRefusal.LEAVING_BACKEND) { c -> c.copy(backends = c.backends.map { it.copy(leaving = true) }) },
            SendCase("domain out of service", SendRefusal.DOMAIN_OUT) { c -> c.copy(domains = c.domains.map { it.copy(out = true) }) },
            SendCase("instance out of service", SendRefusal.INSTANCE_OUT) { it.copy(instancesOut = listOf(InstanceId("e1"))) },
        ).map { case ->
            dynamicTest(case.name) {
                val check = SendCheck.of(case.change(SMALL_CONFIGURATION))
                assertEquals(case.expected, check.refusalOrNull(BackendId(case.backend), InstanceId("e1")))
            }
        }

    private fun failing(name: String) =
        warmBackend(name).also { b ->
            repeat(5) {
                b.recordStart()
                b.recordEnd(1.0, ok = false, nowMs = 0)
            }
        }
}

private val SMALL_CONFIGURATION: Configuration =
    (
        readConfiguration(
            """
            {
              "revision": 7,
              "domains": [{"id": "fd1", "region": "r1"}],
              "pools": [{"id": "encoders", "kind": "encode"}],
              "backends": [{"id": "b1", "url": "http://127.0.0.1:9101", "pool": "encoders", "domain": "fd1", "coldLoad": 1, "fullLoad": 8}],
              "pipelines": [], "routes": [], "workspaces": []
            }
            """,
        ) as ValidationResult.Valid
    ).document
