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
data class HandoverAsk(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("v") val revision: Long,
    @SerialName("s") val isStarting: Boolean = false,
    @SerialName("g") val generation: Int = 0,
) : PeerMessage

/**
 * Answers [HandoverAsk] with everything that the answerer knows about the asker's resources, in parts.
 *
 * From its sending on, the answerer uses none of these resources under any list up to [revision].
 *
 * @property to the incarnation of the asker
 * @property isWhole whether the answerer had everything that it was home of; otherwise the answer frees nobody from waiting
 * @property isIncumbent whether an earlier process of the asker's id may have held resources
 * @property memoryMs how long the answerer has run
 * @property generation the highest generation known for the asker's id
 * @property older lists under which the answerer's peers may have held resources, for a starting asker
 * @property part the number of this part, from 0
 * @property parts the number of parts
 */
@Serializable
@SerialName("hb")
data class HandoverAnswer(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("v") val revision: Long,
    @SerialName("i") val to: Long,
    @SerialName("w") val isWhole: Boolean,
    @SerialName("p") val isIncumbent: Boolean = false,
    @SerialName("m") val memoryMs: Long = 0,
    @SerialName("g") val generation: Int = 0,
    @SerialName("l") val older: List<InstanceList> = emptyList(),
    @SerialName("c") val claims: List<ClaimRecord> = emptyList(),
    @SerialName("r") val permits: List<PermitRecord> = emptyList(),
    @SerialName("t") val runs: List<RunRecord> = emptyList(),
    @SerialName("n") val part: Int = 0,
    @SerialName("o") val parts: Int = 1,
) : PeerMessage
