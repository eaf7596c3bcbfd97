package io.monsoonpath.coordination

import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import kotlinx.serialization.Serializable

/** One process of an instance: a restart keeps [id] and changes [incarnation]. */
@Serializable
data class PeerId(
    val id: InstanceId,
    val incarnation: Incarnation,
)
