package io.monsoonpath.policy.load

import io.monsoonpath.model.StageKind
import io.monsoonpath.model.WorkspaceId
import java.util.SplittableRandom
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.sin

/** A pool with the given number of simulated [servers], which are distributed over the failure domains. */
internal class SimPool(
    val name: String,
    val kind: StageKind,
    val servers: Int,
    val fullLoad: Int,
    val coldLoad: Int = 1,
)

/** A stage; [baseMs] is the mean duration on an idle server. */
internal class SimStage(
    val pool: String,
    val baseMs: Double,
    val idempotent: Boolean = true,
    val prefixSaving: Double = 0.0,
)

/** A pipeline; [share] is its fraction of all requests. */
internal class SimPipeline(
    val deadlineMs: Long,
    val share: Double,
    val stages: List<SimStage>,
)

/** A deployment of a user: sizes, network distances, pipelines and the traffic share of each workspace. */
internal class SimUser(
    val name: String,
    val instances: Int,
    val pools: List<SimPool>,
    val pipelines: List<SimPipeline>,
    val domainDistanceMs: Double,
    val clientDistanceMs: Double,
    val workspaces: Map<WorkspaceId, Double> =
        mapOf("large1" to 0.35, "large2" to 0.3, "middle" to 0.2, "small1" to 0.1, "small2" to 0.05).mapKeys { WorkspaceId(it.key) },
) {
    /** The maximum rate in requests per millisecond of the engines, with full batches. */
    val capacityPerMs: Double
        get() {
            val engines = pools.first { it.kind == StageKind.GENERATE }
            val slots = engines.servers * engines.fullLoad
            val engineMs = pipelines.sumOf { p -> p.share * p.stages.filter { it.pool == engines.name }.sumOf { it.baseMs } }
            return slots / (engineMs * FULL_BATCH_FACTOR)
        }
}

/** A fault injected into a run at [FAULT_AT_MS]. */
internal enum class Fault { FLOOD, SLOW_STAGE, COLD_SERVER, DOMAIN_OUT }

internal const val RUN_MS = 60_000.0
internal const val FAULT_AT_MS = 20_000.0
internal const val FAULT_END_MS = 40_000.0
internal const val FULL_BATCH_FACTOR = 1.5
internal const val SLOWED_POOL = "rerank"
internal const val FLOOD_FACTOR = 5.0
internal const val DOMAIN_COUNT = 3

/** Returns the request rate at [atMs] relative to the peak rate; it rises to the peak and stays there for some time. */
internal fun relativeRate(atMs: Double): Double = minOf(1.0, 0.5 + 0.6 * sin(PI * atMs / RUN_MS))

/** Returns a service time factor with a mean near 1 and a moderate tail. */
internal fun SplittableRandom.serviceFactor(): Double = exp(SERVICE_SIGMA * gaussian() - SERVICE_SIGMA * SERVICE_SIGMA / 2)

private fun SplittableRandom.gaussian(): Double = (1..12).sumOf { nextDouble() } - 6

private const val SERVICE_SIGMA = 0.3

private fun pools(engines: Int) =
    listOf(
        SimPool("encode", StageKind.ENCODE, servers = 3, fullLoad = 8),
        SimPool("retrieve", StageKind.RETRIEVE, servers = 3, fullLoad = 8),
        SimPool(SLOWED_POOL, StageKind.RERANK, servers = 3, fullLoad = 8),
        SimPool("generate", StageKind.GENERATE, engines, fullLoad = 8, coldLoad = 2),
        SimPool("stock", StageKind.SERVICE, servers = 4, fullLoad = 8),
        SimPool("order", StageKind.SERVICE, servers = 4, fullLoad = 8),
        SimPool("account", StageKind.SERVICE, servers = 4, fullLoad = 8),
        SimPool("notify", StageKind.SERVICE, servers = 3, fullLoad = 8),
    )

private fun generate(baseMs: Double) = SimStage("generate", baseMs, prefixSaving = 0.3)

internal val KOVACS =
    SimUser(
        name = "Kovács",
        instances = 6,
        pools = pools(engines = 8),
        pipelines =
            listOf(
                SimPipeline(
                    deadlineMs = 4_000,
                    share = 0.5,
                    listOf(
                        SimStage("encode", 15.0),
                        SimStage("retrieve", 25.0),
                        SimStage("rerank", 120.0),
                        generate(600.0),
                        SimStage("stock", 20.0),
                    ),
                ),
                SimPipeline(deadlineMs = 4_000, share = 0.2, listOf(SimStage("encode", 15.0), generate(800.0), SimStage("notify", 15.0))),
                SimPipeline(
                    deadlineMs = 1_500,
                    share = 0.3,
                    listOf(SimStage("account", 20.0), SimStage("order", 40.0, idempotent = false)),
                ),
            ),
        domainDistanceMs = 0.5,
        clientDistanceMs = 2.0,
    )

internal val ROTACION =
    SimUser(
        name = "Rotación",
        instances = 9,
        pools = pools(engines = 13),
        pipelines =
            listOf(
                SimPipeline(
                    deadlineMs = 4_000,
                    share = 0.4,
                    listOf(SimStage("retrieve", 25.0), SimStage("rerank", 100.0), generate(900.0), SimStage("stock", 20.0)),
                ),
                SimPipeline(deadlineMs = 3_000, share = 0.3, listOf(SimStage("encode", 15.0), SimStage("retrieve", 25.0), generate(500.0))),
                SimPipeline(
                    deadlineMs = 1_500,
                    share = 0.3,
                    listOf(SimStage("account", 20.0), SimStage("order", 40.0, idempotent = false)),
                ),
            ),
        domainDistanceMs = 2.0,
        clientDistanceMs = 1.0,
    )
