package io.monsoonpath.coordination.replication

import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DocumentReplicatorTest {
    private class Case(
        val name: String,
        val size: Int,
        val domains: Int,
        val withinMs: Long,
        val fault: (ReplicationSimulation) -> Unit,
    )

    private val cases =
        listOf(
            Case("no faults, 3 instances in one domain", 3, 1, 1_000) {},
            Case("no faults, 9 instances", 9, 3, 1_000) {},
            Case("no faults, 50 instances", 50, 5, 1_000) {},
            Case("the platform responds only to the last of 3", 3, 1, 2_000) { f -> f.canReadPlatform = { it == f.nodes.last().id } },
            Case("the platform responds only to one of 9", 9, 3, 2_000) { f -> f.canReadPlatform = { it == f.nodes.last().id } },
            Case("the platform responds to one failure domain only", 9, 3, 2_000) { f ->
                val allowed = f.nodes.filter { it.domain == f.nodes[0].domain }.map { it.id }
                f.canReadPlatform = { it in allowed }
            },
            Case("the platform serves stale data to the readers of 3 instances", 3, 1, 2_000) { f ->
                f.staleFor = chooseReaders(f.nodes[0].domain, f.nodes.map { it.id }).toSet()
                f.platform.staleConfiguration = f.platform.configuration
            },
            Case("one instance reaches its peers in one direction only", 9, 3, 2_000) { f ->
                f.isCut = { from, to -> from == f.nodes[4].id && to != f.nodes[5].id }
            },
            Case("all links of the readers of one domain are cut", 9, 3, 2_000) { f ->
                val readers = chooseReaders(f.nodes[0].domain, f.nodes.filter { it.domain == f.nodes[0].domain }.map { it.id })
                f.isCut = { from, to -> from in readers || to in readers }
            },
        )

    @TestFactory
    fun `all instances adopt a published configuration in time`() =
        cases.map { case ->
            dynamicTest(case.name) {
                val fleet = ReplicationSimulation(case.size, case.domains)
                fleet.publish(1, TEXT)
                fleet.runUntil(10_000) { fleet.allAdopted(1) }
                case.fault(fleet)
                fleet.runUntil(10_000)
                fleet.publish(2, TEXT)
                val tookMs = fleet.runUntil(20_000) { fleet.allAdopted(2) }
                assertTrue(tookMs <= case.withinMs, "adoption took $tookMs ms")
                assertEquals(emptyList(), fleet.errors)
            }
        }

    @TestFactory
    fun `no revision is reverted and a restarted instance gets the newest revision from its peers`() =
        listOf(1L, 2L, 3L).map { seed ->
            dynamicTest("seed $seed") {
                val fleet = ReplicationSimulation(9, 3, seed = seed)
                fleet.publish(1, TEXT)
                fleet.runUntil(10_000) { fleet.allAdopted(1) }
                val old = fleet.platform.configuration
                fleet.publish(2, TEXT)
                fleet.runUntil(10_000) { fleet.allAdopted(2) }
                fleet.platform.staleConfiguration = old
                fleet.nodes.forEach { node ->
                    fleet.kill(node)
                    fleet.restart(node)
                    fleet.runUntil(2_000) { node.adopted > 0 }
                    assertEquals(2, node.adopted)
                    assertEquals(2, fleet.nodes.minOf { it.adopted })
                }
                assertEquals(emptyList(), fleet.errors)
            }
        }

    @TestFactory
    fun `freshness expires without contact to the platform and a quorum`() =
        listOf("platform down", "platform serves old revisions", "cut off and platform down").map { name ->
            dynamicTest(name) {
                val fleet = ReplicationSimulation(9, 3)
                fleet.publish(1, TEXT)
                fleet.publish(2, TEXT)
                fleet.runUntil(6_000)
                val alone = fleet.nodes[3]
                if (name ==
                    "platform serves old revisions"
                ) {
                    fleet.platform.staleConfiguration = 1L to "1\n".toByteArray()
                } else {
                    fleet.canReadPlatform = { false }
                }
                if (name.startsWith("cut off")) fleet.isCut = { from, to -> from == alone.id || to == alone.id }
                fleet.runUntil(ReplicationTiming().freshnessMs + 500)
                fleet.runUntil(20_000) {
                    val others = fleet.nodes.filter { it != alone }
                    assertTrue(others.all { it.replicator.status.isFresh(fleet.nowMs) }, "not fresh at ${fleet.nowMs} ms")
                    assertEquals(!name.startsWith("cut off"), alone.replicator.status.isFresh(fleet.nowMs))
                    false
                }
            }
        }

    @TestFactory
    fun `the total read rate stays far below the budget and grows more slowly than the fleet`() =
        listOf("no faults", "the platform is down").map { name ->
            dynamicTest(name) {
                val perSecond =
                    listOf(9 to 3, 50 to 5, 410 to 10).associate { (size, domains) ->
                        val fleet = ReplicationSimulation(size, domains, regions = if (size > 100) 4 else 1)
                        fleet.publish(1, TEXT)
                        fleet.runUntil(6_000)
                        if (name != "no faults") fleet.canReadPlatform = { false }
                        val before = fleet.nodes.sumOf { it.reads }
                        fleet.runUntil(10_000)
                        size to (fleet.nodes.sumOf { it.reads } - before) / 10.0
                    }
                println("reads/s, $name: $perSecond")
                assertTrue(perSecond.values.all { it <= READ_BUDGET_PER_S / 10 }, "reads/s by fleet size: $perSecond")
                assertTrue(perSecond.getValue(50) / 50 < perSecond.getValue(9) / 9, "reads/s by fleet size: $perSecond")
                assertTrue(perSecond.getValue(410) / 410 < perSecond.getValue(50) / 50, "reads/s by fleet size: $perSecond")
            }
        }

    private companion object {
        val TEXT = "a line of the document,\n".repeat(100).toByteArray()
        const val READ_BUDGET_PER_S = 2_000.0
    }
}
