package io.monsoonpath.coordination.message

import io.monsoonpath.model.InstanceList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Asks a peer which instance list it has; the answer vouches for the asker or confirms a newer list.
 *
 * @property sentAtMs the asker's clock at sending, returned unchanged in the answer
 * @property newest the revision of the asker's list
 * @property settled the revision below which no instance has a right any more
 */
@Serializable
@SerialName("ma")
data class ListStatusRequest(
    @SerialName("t") val sentAtMs: Long,
    @SerialName("n") val newest: Long,
    @SerialName("s") val settled: Long,
) : PeerMessage

/**
 * Answers [ListStatusRequest].
 *
 * @property toIncarnation the incarnation of the asker
 * @property sentAtMs the value from the question
 * @property newest the revision of the answerer's list
 * @property settled the revision below which no instance has a right any more
 * @property unsettled the revisions from [settled] up to but without [newest] that the answerer knows
 * @property isRecovering whether the answerer started so recently that its answer proves nothing
 */
@Serializable
@SerialName("mb")
data class ListStatusReply(
    @SerialName("i") val toIncarnation: Long,
    @SerialName("t") val sentAtMs: Long,
    @SerialName("n") val newest: Long,
    @SerialName("s") val settled: Long,
    @SerialName("u") val unsettled: List<Long> = emptyList(),
    @SerialName("r") val isRecovering: Boolean = false,
) : PeerMessage

/** Requests the instance lists with [revisions]. */
@Serializable
@SerialName("mr")
data class ListsRequest(
    @SerialName("v") val revisions: List<Long>,
) : PeerMessage

/** Carries instance lists that a peer requested. */
@Serializable
@SerialName("ml")
data class ListsReply(
    @SerialName("l") val lists: List<InstanceList>,
) : PeerMessage
