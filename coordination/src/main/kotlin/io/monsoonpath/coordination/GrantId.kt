package io.monsoonpath.coordination

import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The id of a claim or permit. [number] is a counter of the requesting process, so ids are never reused. */
@Serializable
data class GrantId(
    @SerialName("i") val instance: InstanceId,
    @SerialName("p") val incarnation: Incarnation,
    @SerialName("n") val number: Long,
)
