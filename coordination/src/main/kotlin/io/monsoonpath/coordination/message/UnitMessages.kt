package io.monsoonpath.coordination.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Requests up to [amount] tokens from the units of [workspace] that the receiver holds.
 *
 * @property query a number that the sender never reuses
 */
@Serializable
@SerialName("ud")
data class Debit(
    @SerialName("q") val query: Long,
    @SerialName("w") val workspace: String,
    @SerialName("a") val amount: Long,
) : PeerMessage

/**
 * The reply to [Debit].
 *
 * @property granted the number of tokens taken, from 0 to the requested amount
 * @property remaining the number of tokens left in the sender's units of the workspace
 * @property heldUnits the number of units of the workspace that the sender holds
 * @property hasPendingTransfers whether units or tokens are being transferred to or from the sender, so that a retry may find more
 */
@Serializable
@SerialName("ue")
data class DebitReply(
    @SerialName("q") val query: Long,
    @SerialName("g") val granted: Long,
    @SerialName("l") val remaining: Long,
    @SerialName("h") val heldUnits: Int,
    @SerialName("u") val hasPendingTransfers: Boolean = false,
) : PeerMessage

/** Returns [amount] of the tokens that the receiver granted to the debit [query]. */
@Serializable
@SerialName("ur")
data class Refund(
    @SerialName("q") val query: Long,
    @SerialName("a") val amount: Long,
) : PeerMessage

/**
 * Asks a former owner to hand over all units that the sender owns under the list with [revision].
 *
 * @property request a number that the sender never reuses
 */
@Serializable
@SerialName("uh")
data class UnitHandoverRequest(
    @SerialName("n") val request: Long,
    @SerialName("v") val revision: Long,
) : PeerMessage

/** One unit of a workspace with its token level at the handover. */
@Serializable
data class HandedOverUnit(
    @SerialName("w") val workspace: String,
    @SerialName("u") val unit: Int,
    @SerialName("l") val level: Long,
)

/**
 * The reply to [UnitHandoverRequest], split into [partCount] messages. Units missing from all of them were not held.
 *
 * @property partIndex the index of this message, from 0
 */
@Serializable
@SerialName("ui")
data class UnitHandover(
    @SerialName("n") val request: Long,
    @SerialName("p") val partIndex: Int,
    @SerialName("c") val partCount: Int,
    @SerialName("e") val units: List<HandedOverUnit> = emptyList(),
) : PeerMessage
