package io.monsoonpath.coordination.message

import io.monsoonpath.model.InstanceList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of resource of a handover. Each kind is handed over independently. */
@Serializable
enum class HandoverKind {
    @SerialName("c")
    CLAIMS,

    @SerialName("p")
    PERMITS,

    @SerialName("l")
    LOADS,

    @SerialName("o")
    ORDERS,
}

/**
 * Asks a former owner to hand over the resources that the requester owns under the list with [revision].
 *
 * @property isStarting whether the requester holds nothing yet and also needs the lists before [revision]
 * @property generation the number of processes known to have started with the requester's id, including the requester
 */
@Serializable
@SerialName("ha")
data class HandoverRequest(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("v") val revision: Long,
    @SerialName("s") val isStarting: Boolean = false,
    @SerialName("g") val generation: Int = 0,
) : PeerMessage

/**
 * The reply to [HandoverRequest], in one or more parts: all records of the sender on the requester's resources.
 *
 * Once the reply is sent, the sender no longer uses these resources under any list up to [revision].
 *
 * @property toIncarnation the incarnation of the requester
 * @property isComplete whether the sender held all resources that it owned; if not, the requester must still wait
 * @property hadPredecessor whether an earlier process with the requester's id may have held resources
 * @property uptimeMs the uptime of the sender
 * @property generation the highest generation recorded for the requester's id
 * @property olderLists earlier lists under which peers of the sender may have held resources; sent to a starting requester
 * @property partIndex the index of this part, from 0
 * @property partCount the number of parts
 */
@Serializable
@SerialName("hb")
data class HandoverReply(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("v") val revision: Long,
    @SerialName("i") val toIncarnation: Long,
    @SerialName("w") val isComplete: Boolean,
    @SerialName("p") val hadPredecessor: Boolean = false,
    @SerialName("m") val uptimeMs: Long = 0,
    @SerialName("g") val generation: Int = 0,
    @SerialName("l") val olderLists: List<InstanceList> = emptyList(),
    @SerialName("c") val claims: List<ClaimRecord> = emptyList(),
    @SerialName("r") val permits: List<PermitRecord> = emptyList(),
    @SerialName("t") val runs: List<RunRecord> = emptyList(),
    @SerialName("n") val partIndex: Int = 0,
    @SerialName("o") val partCount: Int = 1,
) : PeerMessage
