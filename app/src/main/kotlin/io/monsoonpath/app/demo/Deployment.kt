package io.monsoonpath.app.demo

import io.monsoonpath.app.edit.IssuedKey
import io.monsoonpath.app.edit.issueKey
import io.monsoonpath.model.Access
import io.monsoonpath.model.BackendId
import io.monsoonpath.model.BackendSpec
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.DomainSpec
import io.monsoonpath.model.FailureDomain
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
import java.util.Random

/** The pools of the demonstration. The last one is a plain service whose calls must not be retried. */
internal val POOLS = listOf("encode", "retrieve", "rerank", "generate", "service")

/** The stages of the match pipeline, in order. */
internal val MATCH_STAGES = POOLS.dropLast(1)

/** The failure domains. Each contains one entry instance and one backend server of every pool. */
internal val DOMAINS = listOf("fd1", "fd2", "fd3")

/** The workspace that sends most requests. */
internal val LARGE_WORKSPACE = WorkspaceId("large")

/** The workspace that exceeds its rate limit. */
internal val SMALL_WORKSPACE = WorkspaceId("small")

/** The burst of [SMALL_WORKSPACE]. */
internal const val SMALL_BURST = 5

/** The rate of [SMALL_WORKSPACE], in thousandths of a request per second. */
internal const val SMALL_RATE_MILLI_PER_S = 5_000L

/** The API keys of the demonstration. They are generated from a fixed seed, since they protect only the stand-ins. */
internal val DEMO_KEYS: Map<WorkspaceId, IssuedKey> =
    Random(1).let { random -> listOf(LARGE_WORKSPACE, SMALL_WORKSPACE).associateWith { issueKey(it, random) } }

/** Returns the first configuration, with backend servers at [urls] by pool and failure domain. */
internal fun firstConfiguration(urls: Map<BackendId, String>): Configuration =
    Configuration(
        revision = ConfigRevision(1),
        domains = DOMAINS.map { DomainSpec(FailureDomain(it), REGION) },
        pools = POOLS.map { PoolSpec(PoolId(it), stageKind(it)) },
        backends = urls.map { (id, url) -> backendSpec(id, url) },
        pipelines =
            listOf(
                PipelineSpec(PipelineId("match"), DEADLINE_MS, MATCH_STAGES.map { stageSpec(it, isIdempotent = true) }),
                PipelineSpec(PipelineId("order"), DEADLINE_MS, listOf(stageSpec("service", isIdempotent = false))),
                PipelineSpec(PipelineId("look-up"), DEADLINE_MS, listOf(stageSpec("retrieve", isIdempotent = true))),
            ),
        routes =
            listOf(
                RouteSpec(MATCH_PATH, PipelineId("match")),
                RouteSpec(ORDER_PATH, PipelineId("order"), idempotent = false),
                RouteSpec(LOOK_UP_PATH, PipelineId("look-up"), Access.OPEN),
            ),
        workspaces =
            listOf(
                WorkspaceSpec(LARGE_WORKSPACE, rateMilliPerS = 10_000_000, burst = 2_000, weight = 10),
                WorkspaceSpec(SMALL_WORKSPACE, SMALL_RATE_MILLI_PER_S, SMALL_BURST),
            ),
        keys = DEMO_KEYS.values.map { it.spec },
    )

/** Returns the id of the backend server of [pool] in [domain]. */
internal fun backendId(
    pool: String,
    domain: String,
) = BackendId("$pool-$domain")

private fun backendSpec(
    id: BackendId,
    url: String,
) = BackendSpec(
    id = id,
    url = url,
    pool = PoolId(id.value.substringBefore('-')),
    domain = FailureDomain(id.value.substringAfter('-')),
    coldLoad = COLD_LOAD,
    fullLoad = FULL_LOAD,
)

private fun stageKind(pool: String) = StageKind.valueOf(pool.uppercase())

private fun stageSpec(
    pool: String,
    isIdempotent: Boolean,
) = StageSpec(StageId(pool), stageKind(pool), PoolId(pool), "/$pool", isIdempotent, expectedMs = EXPECTED_MS)

/** The region of all instances and failure domains. */
internal val REGION = Region("r1")

/** The path of the match pipeline: four idempotent stages. */
internal const val MATCH_PATH = "/v1/match"

/** The path of the order pipeline: one call that is not idempotent. */
internal const val ORDER_PATH = "/v1/orders"

/** The path of the look-up pipeline, which requires no key. */
internal const val LOOK_UP_PATH = "/v1/look-up"

/** The number of concurrent calls that a backend server can handle during a cold start. */
internal const val COLD_LOAD = 4

private const val FULL_LOAD = 64
private const val DEADLINE_MS = 4_000L
private const val EXPECTED_MS = 10L
