package io.monsoonpath.coordination.units

import io.monsoonpath.coordination.membership.MembershipTiming
import io.monsoonpath.coordination.membership.Safeguards
import io.monsoonpath.coordination.message.ListStatusReply
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.sim.FailingSchedule
import io.monsoonpath.coordination.sim.Fault
import io.monsoonpath.coordination.sim.SEED_COUNT
import io.monsoonpath.coordination.sim.SimNode
import io.monsoonpath.coordination.sim.firstFailure
import io.monsoonpath.coordination.sim.randomFaults
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull

/**
 * Runs random fault schedules against the rate limits.
 *
 * No time window of any workspace may admit more than burst + rate * window, and no unit may be usable at two instances.
 */
class LimitSafetyTest {
    private class Mutation(
        val safeguards: Safeguards = Safeguards(),
        val onArrival: (SimNode, SimNode, PeerMessage) -> PeerMessage = { _, _, message -> message },
        val renewsOnPlatformReads: Boolean = false,
    )

    private fun drawFaults(seed: Long): List<Fault> =
        randomFaults(Random(seed), INSTANCES, LAST_FAULT_MS, customs = listOf { Fault.Custom(0, "limits", it.nextLong(1, 40)) })

    private fun run(
        seed: Long,
        faults: List<Fault>,
        mutation: Mutation,
    ): String? {
        val random = Random(seed * 17)
        val initial = 2 + (seed % (INSTANCES - 1)).toInt()
        val simulation =
            LimitSimulation(
                seed,
                WORKSPACES,
                INSTANCES,
                initial,
                faults,
                MembershipTiming(leaseMs = 1_000),
                mutation.safeguards,
                driftPermille = if (seed % 2 == 0L) 0 else 10,
                onArrival = mutation.onArrival,
                pausePermille = 3,
            )
        val network = simulation.network
        network.onCustom("limits") { burst -> simulation.changeLimits { it.copy(burst = burst.toInt(), rateMilliPerS = burst * 1_000) } }
        for (workspace in WORKSPACES) {
            var atMs = if (workspace.id.value == "deep") FILLED_AFTER_MS else 2_500L
            while (atMs < LAST_FAULT_MS + 4_000) {
                atMs +=
                    if (random.nextInt(20) == 0) random.nextLong(2_000) else random.nextLong(MEAN_GAP_MS.getValue(workspace.id.value) * 2)
                simulation.scheduleRequest(atMs, workspace.id) { network.nodes[random.nextInt(INSTANCES)] }
            }
        }
        if (mutation.renewsOnPlatformReads) renewOnPlatformReads(simulation)
        return simulation.run(LAST_FAULT_MS + 5_000)
    }

    /** Renews the lease of each instance on each read of the platform, however stale, as if all peers had confirmed it. */
    private fun renewOnPlatformReads(simulation: LimitSimulation) {
        val network = simulation.network
        for (atMs in 1_000L until LAST_FAULT_MS step 200) {
            network.at(atMs) {
                for (node in network.nodes.filter { it.isRunning }) {
                    val revision = node.standing.revision.value
                    network.nodes.filter { it !== node }.forEach { other ->
                        node.deliver(other.self, ListStatusReply(node.self.incarnation.value, node.nowMs, revision, 0))
                    }
                }
            }
        }
    }

    private fun search(
        seeds: LongRange,
        mutation: Mutation,
    ): FailingSchedule? = firstFailure(seeds, ::drawFaults) { seed, faults -> run(seed, faults, mutation) }

    @Test
    fun `no fault schedule admits more than the limit`() {
        assertEquals(null, search(1..SEED_COUNT, Mutation())?.toString())
    }

    @TestFactory
    fun `each mutation is detected`(): List<DynamicTest> =
        listOf(
            "no takeover wait" to Mutation(Safeguards(takeoverWait = false)),
            "units kept after the lease lapsed" to Mutation(Safeguards(expiryDropsHoldings = false)),
            "a restarted process confirms leases immediately" to Mutation(Safeguards(recoverySilence = false)),
            "refundable amounts do not reduce the capacity" to Mutation(Safeguards(refundsClipped = false)),
            "units usable after their handover" to Mutation(Safeguards(handoverCloses = false)),
            "lease not checked after the withdrawal" to Mutation(Safeguards(spendRechecked = false)),
            "lease renewed from a stale platform read" to Mutation(renewsOnPlatformReads = true),
            "leases compared by wall clock" to Mutation(onArrival = ::stampByWallClock),
        ).map { (name, mutation) ->
            dynamicTest(name) { println("$name: " + assertNotNull(search(1..MUTATION_SEEDS, mutation))) }
        }

    /** Replaces the send time by that of a wall clock that is off by up to three seconds. */
    private fun stampByWallClock(
        from: SimNode,
        to: SimNode,
        message: PeerMessage,
    ): PeerMessage = if (message is ListStatusReply) message.copy(sentAtMs = message.sentAtMs + skewMs(from) - skewMs(to)) else message

    private fun skewMs(node: SimNode): Long = (node.self.incarnation.value).mod(3_000L)

    private companion object {
        const val INSTANCES = 6
        const val LAST_FAULT_MS = 15_000L
        const val FILLED_AFTER_MS = 5_500L
        const val MUTATION_SEEDS = 2_000L
        val MEAN_GAP_MS = mapOf("large" to 30L, "tiny" to 150L, "deep" to 40L)
        val WORKSPACES =
            listOf(
                WorkspaceSpec(WorkspaceId("large"), rateMilliPerS = 20_000, burst = 30),
                WorkspaceSpec(WorkspaceId("tiny"), rateMilliPerS = 1_700, burst = 1),
                WorkspaceSpec(WorkspaceId("deep"), rateMilliPerS = 6_000, burst = 30),
            )
    }
}
