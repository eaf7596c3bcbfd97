package io.monsoonpath.app.http

import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * What an instance tells operators about itself.
 *
 * @property rejectedDocuments how many documents were rejected whole; [lastProblems] are those of the latest
 * @property eventsDropped how many events are no longer kept
 * @property sections what single controllers tell about their state, by their names
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
