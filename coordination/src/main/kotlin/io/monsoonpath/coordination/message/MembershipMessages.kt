package io.monsoonpath.coordination.message

import io.monsoonpath.model.InstanceList
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests the instance list revisions of a peer. The reply supports the requester's lease or confirms a newer list.
 *
 * @property sentAtMs the requester's clock when sending; returned unchanged in the reply
 * @property newest the revision of the requester's list
 * @property settled the revision below which all leases have expired
 */
@Serializable
@SerialName("ma")
data class ListStatusRequest(
    @SerialName("t") val sentAtMs: Long,
    @SerialName("n") val newest: Long,
    @SerialName("s") val settled: Long,
) : PeerMessage

/**
 * The reply to [ListStatusRequest].
 *
 * @property toIncarnation the incarnation of the requester
 * @property sentAtMs the value from the request
 * @property newest the revision of the sender's list
 * @property settled the revision below which all leases have expired
 * @property unsettled the revisions from [settled] (inclusive) to [newest] (exclusive) that the sender has seen
 * @property isRecovering whether the sender started too recently for its reply to count
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
