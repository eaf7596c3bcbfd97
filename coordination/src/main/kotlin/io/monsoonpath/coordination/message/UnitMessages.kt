package io.monsoonpath.coordination.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Takes up to [amount] from the units of [workspace] that the receiver holds.
 *
 * @property query a number that the sender never uses twice
 */
@Serializable
@SerialName("ud")
data class Debit(
    @SerialName("q") val query: Long,
    @SerialName("w") val workspace: String,
    @SerialName("a") val amount: Long,
) : PeerMessage

/**
 * Answers [Debit].
 *
 * @property granted what was taken, from zero to the amount wanted
 * @property remaining what remains in the answerer's units of the workspace
 * @property heldUnits how many of the workspace's units the answerer holds
 * @property hasPendingTransfers whether units or tokens are on their way to or from the answerer, so that a retry may find more
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

/** Returns [amount] of what the receiver granted to the debit [query]. */
@Serializable
@SerialName("ur")
data class Refund(
    @SerialName("q") val query: Long,
    @SerialName("a") val amount: Long,
) : PeerMessage

/**
 * Asks a former home to hand over all units that the sender is the home of under [revision].
 *
 * @property request a number that the sender never uses twice
 */
@Serializable
@SerialName("uh")
data class UnitHandoverRequest(
    @SerialName("n") val request: Long,
    @SerialName("v") val revision: Long,
) : PeerMessage

/** One unit of a workspace with its level at the handover. */
@Serializable
data class HandedOverUnit(
    @SerialName("w") val workspace: String,
    @SerialName("u") val unit: Int,
    @SerialName("l") val level: Long,
)

/**
 * Answers [UnitHandoverRequest] in [partCount] messages; units that none of them names were not held.
 *
 * @property partIndex the number of this message, from 0
 */
@Serializable
@SerialName("ui")
data class UnitHandover(
    @SerialName("n") val request: Long,
    @SerialName("p") val partIndex: Int,
    @SerialName("c") val partCount: Int,
    @SerialName("e") val units: List<HandedOverUnit> = emptyList(),
) : PeerMessage
