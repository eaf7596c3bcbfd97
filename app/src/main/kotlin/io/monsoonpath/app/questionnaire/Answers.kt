package io.monsoonpath.app.questionnaire

import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.StageKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A new team's answers to the questionnaire, from which its configuration is generated.
 *
 * @property name the name of the deployment
 * @property regions the regions, each with its failure domains
 * @property platformUrl the base URL of the platform's configuration service
 * @property instances the entry instances
 * @property pools the pools and their backend servers
 * @property pipelines the pipelines and their expected peak load
 * @property workspaces the workspaces and their shares of the peak load
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

/** An entry instance. It serves callers, peers and operators on three consecutive ports, in this order, starting at [firstPort]. */
@Serializable
internal data class InstanceAnswer(
    val id: String,
    val domain: String,
    val host: String,
    val firstPort: Int,
)

/**
 * A pool of backend servers of the same kind and capacity.
 *
 * @property models the models that its engines can load, each as `name` or `name:sizeMb`; a missing size counts as 0 MB
 * @property warmConcurrency the number of concurrent requests that one server can process when warm
 * @property coldConcurrency the number of concurrent requests that one server can process during a cold start
 * @property checksFencing whether its servers reject orders with an outdated fencing number
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

/** A backend server with its failure domain and its [address], an IP address and a port. */
@Serializable
internal data class ServerAnswer(
    val id: String,
    val domain: String,
    val address: Endpoint,
)

/**
 * A pipeline and its route.
 *
 * @property peakPerS the peak load in requests per second, summed over all workspaces
 * @property open whether the route accepts callers without a key
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

/**
 * A stage of a pipeline.
 *
 * @property pool the name of the pool that executes the stage
 * @property path the path of the call to the backend server
 * @property expectedMs the expected duration of a call in milliseconds
 * @property mayRepeat whether a call may be repeated
 * @property model the model that the stage uses, if its pool has models
 */
@Serializable
internal data class StageAnswer(
    val name: String,
    val pool: String,
    val path: String,
    val expectedMs: Long,
    val mayRepeat: Boolean = true,
    val model: String? = null,
)

/** A workspace. Its [share] of the peak load is relative to the shares of the other workspaces; [priority] 0 is the highest. */
@Serializable
internal data class WorkspaceAnswer(
    val name: String,
    val share: Int,
    val priority: Int = 0,
)
