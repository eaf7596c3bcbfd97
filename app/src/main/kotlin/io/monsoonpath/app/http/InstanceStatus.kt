package io.monsoonpath.app.http

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * The state of an instance as it is reported to operators.
 *
 * @property rejectedDocuments the number of documents that were rejected as a whole
 * @property lastProblems the problems of the latest rejected document
 * @property eventsDropped the number of events that were dropped and can no longer be read
 * @property sections the state of individual controllers, by the name of the controller
 */
@Serializable
internal class InstanceStatus(
    val instance: InstanceId,
    val incarnation: String,
    val region: Region,
    val failureDomain: FailureDomain,
    val ready: Boolean,
    val stopping: Boolean,
    val configuration: ConfigRevision,
    val rejectedDocuments: Long,
    val lastProblems: List<String>,
    val runningRequests: Int,
    val lastEvent: Long,
    val eventsDropped: Long,
    val sections: Map<String, JsonElement> = emptyMap(),
)
