package io.monsoonpath.coordination

import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import kotlinx.serialization.Serializable

/** Identifies one process of an instance. A restart keeps [id] and changes [incarnation]. */
@Serializable
data class PeerId(
    val id: InstanceId,
    val incarnation: Incarnation,
)
