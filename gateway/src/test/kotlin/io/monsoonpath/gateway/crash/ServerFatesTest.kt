package io.monsoonpath.gateway.crash

import io.monsoonpath.gateway.VirtualTimeScheduler
import io.monsoonpath.gateway.directory.Address
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.directory.BackendState
import io.monsoonpath.gateway.http.ProbeResult
import io.monsoonpath.gateway.http.ProbeResult.CONNECTED
import io.monsoonpath.gateway.http.ProbeResult.NO_RESPONSE
import io.monsoonpath.gateway.http.ProbeResult.REFUSED
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.PoolId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.ByteArrayOutputStream
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against taking a lost connection, a removed entry or a single failed probe for the end of a server that works on. */
class ServerFatesTest {
    private class Case(
        val name: String,
        /** The results of the probes, one after the other; the last one repeats. */
        val probes: List<ProbeResult>,
        val silentMs: Long = 0,
        /** Until when another connection to the server is open. */
        val connectedUntilMs: Long = 0,
        val entryRemovedAtMs: Long? = null,
        val successorAtMs: Long? = null,
        /** The start of the next process under the id, in Unix milliseconds. */
        val successorStartedAtUnixMs: Long = 2,
        val fate: ServerFate,
        val atMs: Long,
    )

    private val cases =
        listOf(
            Case("a process that has ended", listOf(REFUSED), fate = ServerFate.ENDED, atMs = LOSS_MS + PROBE_MS),
            Case(
                "a process that accepts connections for a moment after its crash",
                listOf(CONNECTED, REFUSED),
                fate = ServerFate.ENDED,
                atMs = LOSS_MS + 2 * PROBE_MS + 100,
            ),
            Case(
                "a server that has only lost the answer",
                listOf(CONNECTED),
                fate = ServerFate.RUNNING,
                atMs = LOSS_MS + 2 * PROBE_MS + 100,
            ),
            Case(
                "a server at its limit of connections",
                listOf(REFUSED, CONNECTED),
                connectedUntilMs = 10_000,
                fate = ServerFate.RUNNING,
                atMs = LOSS_MS + 2 * PROBE_MS + 100,
            ),
            Case(
                "a process whose other connections end a moment later",
                listOf(REFUSED),
                connectedUntilMs = LOSS_MS + 50,
                fate = ServerFate.ENDED,
                atMs = LOSS_MS + 2 * PROBE_MS + 100,
            ),
            Case(
                "a machine that has been silent for seconds",
                listOf(NO_RESPONSE),
                silentMs = 3_000,
                fate = ServerFate.UNREACHABLE,
                atMs = LOSS_MS + PROBE_MS,
            ),
            Case(
                "a server that has just sent something and drops opening packets",
                listOf(NO_RESPONSE),
                fate = ServerFate.UNKNOWN,
                atMs = LOSS_MS + ServerFates.TIMEOUT_MS,
            ),
            Case(
                "a silent connection to a server that runs",
                listOf(CONNECTED),
                silentMs = 3_000,
                fate = ServerFate.RUNNING,
                atMs = LOSS_MS + 2 * PROBE_MS + 100,
            ),
            Case(
                "an entry that is removed, of a server that serves on",
                listOf(NO_RESPONSE),
                entryRemovedAtMs = LOSS_MS + 100,
                fate = ServerFate.UNKNOWN,
                atMs = LOSS_MS + ServerFates.TIMEOUT_MS,
            ),
            Case(
                "a successor that registers",
                listOf(NO_RESPONSE),
                successorAtMs = LOSS_MS + 300,
                fate = ServerFate.ENDED,
                atMs = LOSS_MS + 300,
            ),
            Case(
                "a successor that has registered before the connection is lost",
                listOf(CONNECTED),
                successorAtMs = LOSS_MS - 100,
                fate = ServerFate.ENDED,
                atMs = LOSS_MS,
            ),
            Case(
                "an entry of the same process",
                listOf(NO_RESPONSE),
                successorAtMs = LOSS_MS + 300,
                successorStartedAtUnixMs = 1,
                fate = ServerFate.UNKNOWN,
                atMs = LOSS_MS + ServerFates.TIMEOUT_MS,
            ),
        )

    @TestFactory
    fun `a server has ended only if nothing else explains what is seen`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val world = World(case.probes) { it < case.connectedUntilMs }
                world.time.schedule(LOSS_MS) { world.find(case.silentMs) }
                case.entryRemovedAtMs?.let { world.time.schedule(it) { world.directory.remove(SERVER.id, "test") } }
                case.successorAtMs?.let {
                    world.time.schedule(it) {
                        world.directory.put(SERVER.copy(startedAtUnixMs = case.successorStartedAtUnixMs, state = BackendState.DRAINING), 2)
                    }
                }
                world.time.advance(END_MS)
                assertEquals(listOf(case.fate to case.atMs), world.found)
            }
        }

    @TestFactory
    fun `connections that are lost together share the probes`() =
        listOf(CONNECTED to ServerFate.RUNNING, REFUSED to ServerFate.ENDED).map { (result, fate) ->
            DynamicTest.dynamicTest("$fate") {
                val world = World(listOf(result)) { false }
                // The last loss comes while the first probe, which proves nothing about it, is on its way.
                listOf(LOSS_MS, LOSS_MS, LOSS_MS + PROBE_MS / 2).forEach { atMs -> world.time.schedule(atMs) { world.find(silentMs = 0) } }
                world.time.advance(END_MS)
                assertEquals(List(3) { fate }, world.found.map { it.first })
                assertTrue(world.probeCount <= 3, "${world.probeCount} probes")
            }
        }

    private class World(
        probes: List<ProbeResult>,
        isConnectedAt: (Long) -> Boolean,
    ) {
        val time = VirtualTimeScheduler()
        private val log = DecisionLog(ByteArrayOutputStream())
        val directory = BackendDirectory(log).also { it.put(SERVER, 1) }
        val found = ArrayList<Pair<ServerFate, Long>>()
        var probeCount = 0
        private val fates =
            ServerFates({ time.nowMs }, time, directory, log, { isConnectedAt(time.nowMs) }) { _, onResult ->
                val result = probes[minOf(probeCount++, probes.lastIndex)]
                time.schedule(PROBE_MS) { onResult(result) }
            }

        fun find(silentMs: Long) = fates.find(SERVER, silentMs) { found += it to time.nowMs }
    }

    private companion object {
        const val LOSS_MS = 1_000L
        const val PROBE_MS = 10L
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
