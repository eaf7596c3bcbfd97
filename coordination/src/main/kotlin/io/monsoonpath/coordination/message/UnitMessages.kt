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
 * @property left what remains in the answerer's units of the workspace
 * @property held how many of the workspace's units the answerer holds
 * @property unsure whether units or tokens are on their way to or from the answerer, so that a retry may find more
 */
@Serializable
@SerialName("ue")
data class DebitReply(
    @SerialName("q") val query: Long,
    @SerialName("g") val granted: Long,
    @SerialName("l") val left: Long,
    @SerialName("h") val held: Int,
    @SerialName("u") val unsure: Boolean = false,
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
data class RequestHandover(
    @SerialName("n") val request: Long,
    @SerialName("v") val revision: Long,
) : PeerMessage

/** One unit of a workspace with its level at the handover. */
@Serializable
data class HandedUnit(
    @SerialName("w") val workspace: String,
    @SerialName("u") val unit: Int,
    @SerialName("l") val level: Long,
)

/**
 * Answers [RequestHandover] in [parts] messages; units that none of them names were not held.
 *
 * @property part the number of this message, from 0
 */
@Serializable
@SerialName("ui")
data class Handover(
    @SerialName("n") val request: Long,
    @SerialName("p") val part: Int,
    @SerialName("c") val parts: Int,
    @SerialName("e") val units: List<HandedUnit> = emptyList(),
) : PeerMessage
