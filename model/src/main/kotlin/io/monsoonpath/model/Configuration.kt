package io.monsoonpath.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The configuration document that the platform publishes.
 *
 * @property revision the document's revision; only a higher one replaces the one in force
 * @property domains the failure domains and the regions they are in
 * @property instancesOut entry instances that operators took out of service
 * @property models the models that engines can load
 * @property pools the pools of backend servers
 * @property backends the backend servers
 * @property pipelines the pipelines, each of one to six stages
 * @property routes the callers' paths and the pipelines they run
 * @property workspaces the workspaces with their rates and weights
 * @property keys the keys as salted hashes, never the keys themselves
 * @property weightStore the rate of the store that engines load weights from
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

/** A failure domain; one that is [out] receives no new work. */
@Serializable
data class DomainSpec(
    val id: FailureDomain,
    val region: Region,
    val out: Boolean = false,
)

/**
 * A model.
 *
 * @property version the version that engines are to run
 * @property adapters the adapters that may be loaded beside it
 * @property loadMb the size of its weights in megabytes
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

/** A pool of backend servers of one [kind]; engines of a generate pool can load [models]. */
@Serializable
data class PoolSpec(
    val id: PoolId,
    val kind: StageKind,
    val models: List<ModelId> = emptyList(),
)

/** What a backend server does with an order that carries an old fencing number. */
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
 * @property url the base address, `http://IP:PORT`
 * @property coldLoad the number of requests it bears at once in a cold start
 * @property fullLoad the number of requests it bears at once when warm
 * @property fencing what it does with old fencing numbers
 * @property leaving true once it is to receive no new work
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

/** A pipeline: its [stages] run in order under [deadlineMs]. */
@Serializable
data class PipelineSpec(
    val id: PipelineId,
    val deadlineMs: Long,
    val stages: List<StageSpec>,
)

/**
 * A stage of a pipeline.
 *
 * @property path the path of the call on the backend server
 * @property idempotent whether a call may be repeated
 * @property model the model that a generate stage needs
 * @property expectedMs the expected duration, used until durations have been observed
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

/** Who may use a route. */
@Serializable
enum class Access {
    /** Anyone; no key is needed. */
    @SerialName("open")
    OPEN,

    /** Only callers with a key in force. */
    @SerialName("keyed")
    KEYED,
}

/**
 * A route from a caller's path to a pipeline.
 *
 * @property path the caller's path, such as `/v1/match`
 * @property idempotent whether a resend of the same request id may run again
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
 * @property rateMilliPerS the sustained rate in thousandths of a request per second, over all instances
 * @property burst the number of requests that may come at once, over all instances
 * @property weight the workspace's share of contended capacity, relative to the others
 * @property priority the priority passed to engines; lower numbers go first
 * @property maxRunning the most requests that may run at once, or null where only the rate limits
 * @property regionShares the share of the limit that each region holds, in thousandths; empty where one region holds all
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
 * A key in the form that may be published.
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

/** The weight store: [loadsPerMin] loads may start in a minute, [concurrentLoads] at once. */
@Serializable
data class WeightStoreSpec(
    val loadsPerMin: Int = 6,
    val concurrentLoads: Int = 2,
)
