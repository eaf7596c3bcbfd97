package io.monsoonpath.coordination.message

import io.monsoonpath.model.InstanceList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a handover is about; each kind moves on its own. */
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
 * Asks a former home to hand over what the asker is home of under the list with [revision].
 *
 * @property isStarting whether the asker holds nothing yet, so that it also needs the lists before [revision]
 * @property generation how many processes of the asker's id are known to have started, itself included
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
 * Answers [HandoverRequest] with everything that the answerer knows about the asker's resources, in parts.
 *
 * From its sending on, the answerer uses none of these resources under any list up to [revision].
 *
 * @property toIncarnation the incarnation of the asker
 * @property isComplete whether the answerer had everything that it was home of; otherwise the answer frees nobody from waiting
 * @property hadPredecessor whether an earlier process of the asker's id may have held resources
 * @property uptimeMs how long the answerer has run
 * @property generation the highest generation known for the asker's id
 * @property olderLists lists under which the answerer's peers may have held resources, for a starting asker
 * @property partIndex the number of this part, from 0
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
