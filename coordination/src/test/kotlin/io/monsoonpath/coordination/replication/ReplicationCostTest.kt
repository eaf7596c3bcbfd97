package io.monsoonpath.coordination.replication

import io.monsoonpath.model.Access
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.KeyId
import io.monsoonpath.model.KeySpec
import io.monsoonpath.model.PipelineId
import io.monsoonpath.model.PipelineSpec
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.PoolSpec
import io.monsoonpath.model.Region
import io.monsoonpath.model.RouteSpec
import io.monsoonpath.model.StageId
import io.monsoonpath.model.StageKind
import io.monsoonpath.model.StageSpec
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertTrue

/** Measures the traffic and latency of replicating a configuration of the target size, and checks the target's bounds. */
class ReplicationCostTest {
    private val sizes = listOf(Triple(9, 3, 1), Triple(50, 5, 1), Triple(410, 10, 4))

    @TestFactory
    fun `idle traffic and traffic per change stay within the budget of a node`() =
        sizes.map { (size, domains, regions) ->
            dynamicTest("$size instances") {
                val random = Random(size)
                val simulation = ReplicationSimulation(size, domains, regions, seed = 3)
                simulation.publish(1, textOf(DOCUMENT))
                simulation.runUntil(60_000) { simulation.allAdopted(1) }
                simulation.runUntil(6_000)
                simulation.countBytes = true
                simulation.runUntil(IDLE_S * 1_000L)
                val idle = simulation.nodes.map { maxOf(it.bytesOut, it.bytesIn) / IDLE_S }
                simulation.nodes.forEach { it.clearBytes() }
                var document = DOCUMENT
                var slowestMs = 0L
                for (revision in 2L..1L + CHANGES) {
                    document = document.withOneKeyWithdrawn(random)
                    simulation.publish(revision, textOf(document))
                    slowestMs = maxOf(slowestMs, simulation.runUntil(20_000) { simulation.allAdopted(revision) })
                    simulation.runUntil(CHANGE_SPACING_MS)
                }
                val spanS = (CHANGES * CHANGE_SPACING_MS) / 1_000
                val perChange = simulation.nodes.map { (maxOf(it.bytesOut, it.bytesIn) - idle.max() * spanS).coerceAtLeast(0) / CHANGES }
                val perSecond = idle.max() + perChange.max() * CHANGES_PER_DAY / DAY_S
                println(
                    "MEASURE $size instances, document ${textOf(
                        DOCUMENT,
                    ).size} bytes: idle mean ${idle.average().toLong()} max ${idle.max()} " +
                        "bytes/s, change mean ${perChange.average().toLong()} max ${perChange.max()} bytes, slowest $slowestMs ms, " +
                        "busiest node at $CHANGES_PER_DAY changes a day $perSecond bytes/s",
                )
                assertTrue(slowestMs <= MAX_ADOPTION_MS, "the slowest adoption took $slowestMs ms")
                assertTrue(perSecond <= BUDGET_BYTES_PER_S, "the busiest node transfers $perSecond bytes/s")
            }
        }

    private fun ReplicationSimulation.Node.clearBytes() {
        bytesOut = 0
        bytesIn = 0
    }

    private fun Configuration.withOneKeyWithdrawn(random: Random): Configuration {
        val keyIndex = random.nextInt(keys.size)
        return copy(keys = keys.mapIndexed { i, key -> if (i == keyIndex) key.copy(withdrawn = !key.withdrawn) else key })
    }

    private fun textOf(document: Configuration) = DocumentJson.encodeToString(Configuration.serializer(), document).toByteArray()

    private companion object {
        const val IDLE_S = 20
        const val CHANGES = 5
        const val CHANGE_SPACING_MS = 3_000L
        const val CHANGES_PER_DAY = 3_900
        const val DAY_S = 86_400
        const val MAX_ADOPTION_MS = 2_000L
        const val BUDGET_BYTES_PER_S = 13_000L
        const val WORKSPACES = 3_300
        const val WORKERS = 7_200

        /** A configuration with 3,300 workspaces, one key each, and 7,200 backend servers. */
        val DOCUMENT =
            Configuration(
                revision = ConfigRevision(1),
                domains = (0..9).map { DomainSpec(FailureDomain("fd$it"), Region("r${it % 4}")) },
                pools = listOf(PoolSpec(PoolId("encoders"), StageKind.ENCODE)),
                backends =
                    (0 until WORKERS).map {
                        val url = "http://10.${it / 256 / 256}.${it / 256 % 256}.${it % 256}:9000"
                        BackendSpec(BackendId("worker-$it"), url, PoolId("encoders"), FailureDomain("fd${it % 10}"), 2, 16)
                    },
                pipelines =
                    listOf(
                        PipelineSpec(
                            PipelineId("tag"),
                            4_000,
                            listOf(StageSpec(StageId("encode"), StageKind.ENCODE, PoolId("encoders"), "/encode")),
                        ),
                    ),
                routes = listOf(RouteSpec("/v1/tag", PipelineId("tag"), Access.KEYED)),
                workspaces = (0 until WORKSPACES).map { WorkspaceSpec(WorkspaceId("workspace-$it"), 4_000L + it, 20) },
                keys =
                    (0 until WORKSPACES).map {
                        KeySpec(KeyId("key-$it"), WorkspaceId("workspace-$it"), hex(it, 32), hex(it + WORKSPACES, 64))
                    },
            )

        fun hex(
            seed: Int,
            digits: Int,
        ): String {
            val random = Random(seed)
            return (1..digits).joinToString("") { random.nextInt(16).toString(16) }
        }
    }
}
