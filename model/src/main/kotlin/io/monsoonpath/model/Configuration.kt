package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The configuration document that the platform publishes.
 *
 * @property revision the revision of the document; only a higher revision replaces the active configuration
 * @property domains the failure domains with their regions
 * @property instancesOut the entry instances that operators have taken out of service
 * @property models the models that engines can load
 * @property pools the pools of backend servers
 * @property backends the backend servers
 * @property pipelines the pipelines, each of one to six stages
 * @property routes the request paths with the pipelines that they run
 * @property workspaces the workspaces with their rate limits and weights
 * @property keys the API keys as salted hashes, never in plain text
 * @property weightStore the limits of the store from which engines load model weights
 */
@Serializable
data class Configuration(
    val revision: ConfigRevision,
    val domains: List<DomainSpec>,
    val instancesOut: List<InstanceId> = emptyList(),
    val models: List<ModelSpec> = emptyList(),
    val pools: List<PoolSpec>,
    val backends: List<BackendSpec>,
    val pipelines: List<PipelineSpec>,
    val routes: List<RouteSpec>,
    val workspaces: List<WorkspaceSpec>,
    val keys: List<KeySpec> = emptyList(),
    val weightStore: WeightStoreSpec = WeightStoreSpec(),
)

/** A failure domain. If [out] is true, it is out of service and receives no new work. */
@Serializable
data class DomainSpec(
    val id: FailureDomain,
    val region: Region,
    val out: Boolean = false,
)

/**
 * A model that engines can load.
 *
 * @property version the version that engines should run
 * @property adapters the adapters that may be loaded together with the model
 * @property loadMb the size of the model weights in megabytes
 */
@Serializable
data class ModelSpec(
    val id: ModelId,
    val version: Int = 1,
    val adapters: List<String> = emptyList(),
    val loadMb: Int = 0,
)

/** The kind of work that a stage does. */
@Serializable
enum class StageKind {
    @SerialName("encode")
    ENCODE,

    @SerialName("retrieve")
    RETRIEVE,

    @SerialName("rerank")
    RERANK,

    @SerialName("generate")
    GENERATE,

    @SerialName("service")
    SERVICE,
}

/** A pool of backend servers of one [kind]. The engines of a generate pool can load [models]. */
@Serializable
data class PoolSpec(
    val id: PoolId,
    val kind: StageKind,
    val models: List<ModelId> = emptyList(),
)

/** How a backend server handles an order with an outdated fencing number. */
@Serializable
enum class Fencing {
    @SerialName("checks")
    CHECKS,

    @SerialName("ignores")
    IGNORES,
}

/**
 * A backend server.
 *
 * @property url the base URL, `http://IP:PORT`
 * @property coldLoad the maximum number of concurrent requests during a cold start
 * @property fullLoad the maximum number of concurrent requests when the backend server is warm
 * @property fencing how the backend server handles outdated fencing numbers
 * @property leaving whether the backend server is draining and receives no new work
 */
@Serializable
data class BackendSpec(
    val id: BackendId,
    val url: String,
    val pool: PoolId,
    val domain: FailureDomain,
    val coldLoad: Int,
    val fullLoad: Int,
    val fencing: Fencing = Fencing.IGNORES,
    val leaving: Boolean = false,
)

/** A pipeline. Its [stages] run in order and must all complete within [deadlineMs] milliseconds. */
@Serializable
data class PipelineSpec(
    val id: PipelineId,
    val deadlineMs: Long,
    val stages: List<StageSpec>,
)

/**
 * A stage of a pipeline.
 *
 * @property path the URL path of the call on the backend server
 * @property idempotent whether a call of the stage may be retried after it may have run
 * @property model the model that a generate stage requires
 * @property expectedMs the expected duration in milliseconds, used until durations have been observed
 */
@Serializable
data class StageSpec(
    val id: StageId,
    val kind: StageKind,
    val pool: PoolId,
    val path: String,
    val idempotent: Boolean = true,
    val model: ModelId? = null,
    val expectedMs: Long = 50,
)

/** The access rule of a route. */
@Serializable
enum class Access {
    /** Anyone may use the route without an API key. */
    @SerialName("open")
    OPEN,

    /** Only callers with an active API key may use the route. */
    @SerialName("keyed")
    KEYED,
}

/**
 * A mapping of a request path to a pipeline.
 *
 * @property path the path of the caller's request, such as `/v1/match`
 * @property idempotent whether a request that is sent again with the same request id may run again
 */
@Serializable
data class RouteSpec(
    val path: String,
    val pipeline: PipelineId,
    val access: Access = Access.KEYED,
    val idempotent: Boolean = true,
)

/**
 * A workspace.
 *
 * @property rateMilliPerS the sustained rate in thousandths of a request per second, across all instances
 * @property burst the number of requests that may arrive at once, across all instances
 * @property weight the weight of the workspace in fair sharing of contended capacity, relative to other workspaces
 * @property priority the priority passed to engines; lower numbers are served first
 * @property maxRunning the maximum number of concurrently running requests, or null if only the rate is limited
 * @property regionShares the share of the rate limit that each region holds, in thousandths; empty if one region holds all of it
 */
@Serializable
data class WorkspaceSpec(
    val id: WorkspaceId,
    val rateMilliPerS: Long,
    val burst: Int,
    val weight: Int = 1,
    val priority: Int = 0,
    val maxRunning: Int? = null,
    val regionShares: Map<Region, Int> = emptyMap(),
)

/**
 * An API key in its published form, without the secret.
 *
 * @property saltHex the salt, 16 bytes in hexadecimal
 * @property hashHex SHA-256 of salt and key, 32 bytes in hexadecimal
 */
@Serializable
data class KeySpec(
    val id: KeyId,
    val workspace: WorkspaceId,
    val saltHex: String,
    val hashHex: String,
    val withdrawn: Boolean = false,
)

/** The limits of the weight store: at most [loadsPerMin] loads may start per minute, and [concurrentLoads] may run at once. */
@Serializable
data class WeightStoreSpec(
    val loadsPerMin: Int = 6,
    val concurrentLoads: Int = 2,
)
