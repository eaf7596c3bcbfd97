package io.monsoonpath.soak

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Runs the packaged program as separate processes, injects faults from outside and checks that the guarantees hold.
 *
 * The build runs [SEEDS]. To run other seeds: `mvn -pl soak -am verify -Dmonsoonpath.soak.seeds=1-50`.
 */
class SoakTest {
    @TestFactory
    fun `guarantees hold while processes, connections and the store fail`() =
        seeds().map { seed ->
            DynamicTest.dynamicTest("seed $seed") {
                val folder = File("target/soak/seed-$seed").apply { mkdirs() }
                val run = SoakRun(seed, folder)
                val outcome = run.use { it.run() }
                println("soak seed $seed: ${outcome.requests} requests, served after the faults ${outcome.servedFractionAfterFaults}")
                println("soak seed $seed: late copies ${outcome.lateCopies}")
                println("soak seed $seed: notices passed on ${outcome.passedOnLeavingCount}, refusals ${outcome.refusalCount}")
                assertEquals(
                    emptyList(),
                    outcome.violations.take(MAX_SHOWN_VIOLATIONS),
                    "logs in ${folder.path}, faults ${run.faults}, notices ${run.notices}",
                )
                assertEquals(CopyMoment.entries.toSet(), outcome.lateCopies.keys.mapTo(HashSet()) { it.moment }, "moments of late copies")
                assertTrue(outcome.passedOnLeavingCount > 0, "no instance passed on that a worker is leaving")
                assertTrue(outcome.refusalCount > 0, "no worker refused a request with Retry-After")
                assertTrue(outcome.requests > MIN_REQUESTS, "too few requests were sent: ${outcome.requests}")
                assertTrue(
                    outcome.servedFractionAfterFaults >= MIN_SERVED_FRACTION,
                    "too few requests were served after the faults: ${outcome.servedFractionAfterFaults}",
                )
            }
        }

    private fun seeds(): List<Long> {
        val text = System.getProperty("monsoonpath.soak.seeds") ?: return SEEDS
        val first = text.substringBefore('-').toLong()
        return (first..text.substringAfter('-').toLong()).toList()
    }

    private companion object {
        /**
         * A short list, with the seeds that failed: 9, 13 and 16 sent SIGHUP to a process that was starting, which ended it. 309 serves
         * too few requests after the store has come back from a copy if its eras are ignored.
         */
        val SEEDS = listOf(1L, 9L, 13L, 16L, 309L)
        const val MAX_SHOWN_VIOLATIONS = 5
        const val MIN_REQUESTS = 200

        /** The least fraction of served requests. About one worker response in eight is a deliberate failure. */
        const val MIN_SERVED_FRACTION = 0.75
    }
}
