package io.monsoonpath.gateway.crash

import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.directory.BackendState
import io.monsoonpath.gateway.http.ProbeResult
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.PromptPartId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.test.assertEquals

class CrashDetectorTest {
    /** The loss of an attempt at [atMs], after which a probe of the server yields [probe]. */
    private class Loss(
        val atMs: Long,
        val probe: ProbeResult,
    )

    private class Case(
        val name: String,
        val losses: List<Loss>,
        val entryRemovedAtMs: Long? = null,
        /** When the server answers another attempt. */
        val answersAtMs: List<Long> = emptyList(),
        /** The time of the crash that is expected to be reported, or null if none is. */
        val crashAtMs: Long?,
        /** The times of the losses whose attempts are expected to be suspected. */
        val suspects: List<Long> = emptyList(),
    )

    private val cases =
        listOf(
            Case("a refused connection", listOf(Loss(100, ProbeResult.REFUSED)), crashAtMs = 100, suspects = listOf(100)),
            Case("a removed entry", listOf(Loss(100, ProbeResult.NO_RESPONSE)), 7_000, crashAtMs = 100, suspects = listOf(100)),
            Case("a lost connection", listOf(Loss(100, ProbeResult.CONNECTED)), crashAtMs = null),
            Case("an entry that is removed much later", listOf(Loss(100, ProbeResult.CONNECTED)), 9_000, crashAtMs = null),
            Case(
                "an earlier lost connection does not date a crash",
                listOf(Loss(100, ProbeResult.CONNECTED), Loss(3_000, ProbeResult.REFUSED)),
                answersAtMs = listOf(2_000),
                crashAtMs = 3_000,
                suspects = listOf(100, 3_000),
            ),
            Case(
                "an earlier lost connection does not end the wait for the removal of an entry",
                listOf(Loss(100, ProbeResult.CONNECTED), Loss(7_500, ProbeResult.CONNECTED)),
                8_500,
                answersAtMs = listOf(2_000),
                crashAtMs = 7_500,
                suspects = listOf(100, 7_500),
            ),
            Case(
                "attempts that were lost long before a crash are not suspected",
                listOf(Loss(100, ProbeResult.CONNECTED), Loss(5_000, ProbeResult.CONNECTED), Loss(9_000, ProbeResult.REFUSED)),
                answersAtMs = listOf(2_000, 6_000),
                crashAtMs = 9_000,
                suspects = listOf(5_000, 9_000),
            ),
            Case(
                "attempts that are lost after a crash do not date it",
                listOf(Loss(100, ProbeResult.CONNECTED), Loss(400, ProbeResult.CONNECTED), Loss(700, ProbeResult.CONNECTED)),
                900,
                crashAtMs = 100,
                suspects = listOf(100, 400, 700),
            ),
        )

    @TestFactory
    fun `crashes are told from lost connections and dated`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val crashes = crashesOf(case)
                assertEquals(listOfNotNull(case.crashAtMs), crashes.map { it.first })
                assertEquals(case.suspects.map { setOf(PromptPartId("p$it")) }, crashes.flatMap { it.second })
            }
        }

    /** An attempt whose answer ended with its connection at [endsAtMs], as answers without a length do. */
    private class Ended(
        val name: String,
        val endsAtMs: Long,
    )

    private class SurvivalCase(
        val name: String,
        val ended: List<Ended>,
        /** The results of the probes, one after the other, each after 50 ms. */
        val probes: List<ProbeResult>,
        val survived: List<String>,
        val suspects: List<String>,
    )

    private val survivalCases =
        listOf(
            SurvivalCase(
                "an answer",
                listOf(Ended("a", 100)),
                listOf(ProbeResult.CONNECTED, ProbeResult.CONNECTED),
                listOf("a"),
                emptyList(),
            ),
            SurvivalCase("a crash", listOf(Ended("a", 100)), listOf(ProbeResult.REFUSED), emptyList(), listOf("a")),
            SurvivalCase(
                "a server that accepts connections for a moment after its crash",
                listOf(Ended("a", 100)),
                listOf(ProbeResult.CONNECTED, ProbeResult.REFUSED),
                emptyList(),
                listOf("a"),
            ),
            // The probe that is on its way at 270 ms had connected before the crash.
            SurvivalCase(
                "an attempt that ends after the start of a probe",
                listOf(Ended("sound", 100), Ended("fatal", 270)),
                listOf(ProbeResult.CONNECTED, ProbeResult.CONNECTED, ProbeResult.REFUSED),
                listOf("sound"),
                listOf("fatal"),
            ),
        )

    /** A probe that connected just before or after a crash vouched for the attempt that caused it, and its prompt was cleared. */
    @TestFactory
    fun `an answer that ends with its connection counts if the server runs on`() =
        survivalCases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val scheduler = VirtualTimeScheduler()
                val log = DecisionLog(ByteArrayOutputStream())
                val directory = BackendDirectory(log)
                val results = ArrayDeque(case.probes)
                val suspects = ArrayList<PromptPartId>()
                val detector =
                    CrashDetector(
                        { scheduler.nowMs },
                        scheduler,
                        directory,
                        log,
                        { _, onResult -> results.removeFirst().let { result -> scheduler.schedule(50) { onResult(result) } } },
                        { _, _, reported -> suspects += reported.flatMap { it.parts } },
                    )
                directory.put(SERVER, 1)
                val survived = ArrayList<String>()
                for (ended in case.ended) {
                    val attempt = UnprovenAttempt(SERVER, setOf(PromptPartId(ended.name)), sentAtMs = 50)
                    scheduler.schedule(50) { detector.recordStart(attempt) }
                    scheduler.schedule(ended.endsAtMs) { detector.recordEndWithConnection(attempt) { survived += ended.name } }
                }
                scheduler.advance(END_MS)
                assertEquals(case.survived, survived)
                assertEquals(case.suspects.map(::PromptPartId), suspects)
                assertEquals(emptyList(), results.toList(), "probes that were not needed")
            }
        }

    /** Returns the times of the reported crashes and the parts of their suspects. */
    private fun crashesOf(case: Case): List<Pair<Long, List<Set<PromptPartId>>>> {
        val scheduler = VirtualTimeScheduler()
        val log = DecisionLog(ByteArrayOutputStream())
        val directory = BackendDirectory(log)
        val crashes = ArrayList<Pair<Long, List<Set<PromptPartId>>>>()
        lateinit var probe: ProbeResult
        val detector =
            CrashDetector(
                { scheduler.nowMs },
                scheduler,
                directory,
                log,
                { _, onResult -> probe.let { result -> scheduler.schedule(1) { onResult(result) } } },
                { _, atMs, suspects -> crashes += atMs to suspects.map { it.parts } },
            )
        directory.put(SERVER, 1)
        for (loss in case.losses) {
            val attempt = UnprovenAttempt(SERVER, setOf(PromptPartId("p${loss.atMs}")), loss.atMs - 50)
            scheduler.schedule(loss.atMs - 50) { detector.recordStart(attempt) }
            scheduler.schedule(loss.atMs) {
                probe = loss.probe
                detector.recordLoss(attempt)
            }
        }
        for (atMs in case.answersAtMs) {
            val attempt = UnprovenAttempt(SERVER, setOf(PromptPartId("answered$atMs")), atMs - 50)
            scheduler.schedule(atMs - 50) { detector.recordStart(attempt) }
            scheduler.schedule(atMs) { detector.recordAnswer(attempt) }
        }
        case.entryRemovedAtMs?.let { scheduler.schedule(it) { directory.remove(SERVER.id, "test") } }
        scheduler.advance(END_MS)
        return crashes
    }

    private companion object {
        const val END_MS = 20_000L

        val SERVER =
            BackendServer(
                BackendId("w"),
                PoolId("p"),
                Address("127.0.0.1", 1),
                FailureDomain("z"),
                slots = 4,
                state = BackendState.READY,
                coldUntilMs = 0,
                startedAtUnixMs = 1,
            )
    }
}
