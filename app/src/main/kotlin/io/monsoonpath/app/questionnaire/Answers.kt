package io.monsoonpath.app.questionnaire

import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.StageKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The answers of a new team, from which its configuration is worked out.
 *
 * @property name what the team calls its deployment
 * @property regions the regions, each with its failure domains
 * @property platformUrl the base address of the platform's configuration service
 * @property instances the entry instances
 * @property pools the pools and their backend servers
 * @property pipelines the pipelines with the peak that they must carry
 * @property workspaces the workspaces and their shares of the peak
 */
@Serializable
internal data class Answers(
    val name: String,
    @SerialName("places")
    val regions: List<RegionAnswer>,
    val platformUrl: String,
    val instances: List<InstanceAnswer>,
    val pools: List<PoolAnswer>,
    val pipelines: List<PipelineAnswer>,
    val workspaces: List<WorkspaceAnswer>,
)

/** A region and its failure domains. */
@Serializable
@SerialName("io.monsoonpath.app.questionnaire.Place")
internal data class RegionAnswer(
    val region: String,
    val domains: List<String>,
)

/** An entry instance; it serves callers, peers and operators on three ports from [firstPort]. */
@Serializable
internal data class InstanceAnswer(
    val id: String,
    val domain: String,
    val host: String,
    val firstPort: Int,
)

/**
 * A pool of like backend servers.
 *
 * @property models the models that its engines can load, `name` or `name:sizeMb`
 * @property warmConcurrency how many requests one server bears at once when warm
 * @property coldConcurrency how many it bears in a cold start
 * @property checksFencing whether its servers refuse orders with an old fencing number
 */
@Serializable
internal data class PoolAnswer(
    val name: String,
    val kind: StageKind,
    val models: List<String> = emptyList(),
    @SerialName("parallel")
    val warmConcurrency: Int,
    @SerialName("parallelCold")
    val coldConcurrency: Int,
    val checksFencing: Boolean = false,
    val servers: List<ServerAnswer>,
)

/** A backend server, at an IP number and a port in a failure domain. */
@Serializable
internal data class ServerAnswer(
    val id: String,
    val domain: String,
    val address: Endpoint,
)

/**
 * A pipeline and its route.
 *
 * @property peakPerS the requests a second that the evening peak brings, over all workspaces
 * @property open whether callers need no key
 */
@Serializable
internal data class PipelineAnswer(
    val name: String,
    val path: String,
    val deadlineMs: Long,
    val peakPerS: Double,
    val open: Boolean = false,
    val stages: List<StageAnswer>,
)

/** A stage: the [pool] it runs on, how long it takes, and whether a call may be repeated. */
@Serializable
internal data class StageAnswer(
    val name: String,
    val pool: String,
    val path: String,
    val expectedMs: Long,
    val mayRepeat: Boolean = true,
    val model: String? = null,
)

/** A workspace; [share] is its part of the peak, relative to the shares of the others. */
@Serializable
internal data class WorkspaceAnswer(
    val name: String,
    val share: Int,
    val priority: Int = 0,
)
