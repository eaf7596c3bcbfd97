package io.monsoonpath.coordination.message

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.model.BackendId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A run of a backend server from one cold start to the next, as the server names it.
 *
 * A server that does not tell gets a name of its own for each connection.
 */
@JvmInline
@Serializable
value class RunId(
    val value: String,
) {
    override fun toString(): String = value
}

/** A permit that a home has granted; [remainingMs] is the time until it lapses. */
@Serializable
data class PermitRecord(
    @SerialName("b") val backend: BackendId,
    @SerialName("i") val id: GrantId,
    @SerialName("r") val run: RunId,
    @SerialName("t") val remainingMs: Long,
    @SerialName("s") val slotRemainingMs: Long = 0,
)

/** The completions that a home has counted for a run. */
@Serializable
data class RunRecord(
    @SerialName("b") val backend: BackendId,
    @SerialName("r") val run: RunId,
    @SerialName("c") val completions: Int,
)

/**
 * Asks the home of [backend] for a permit to send one request; it may be repeated.
 *
 * @property kind whether it is for a request or for a load from the weight store
 * @property run the run that the asker's connection leads to; the permit is good for no other
 * @property budgetMs how long the request may run after the ask, grace excluded
 * @property waitMs how long the home may keep the ask waiting
 */
@Serializable
@SerialName("pa")
data class PermitRequest(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("b") val backend: BackendId,
    @SerialName("i") val id: GrantId,
    @SerialName("r") val run: RunId,
    @SerialName("t") val budgetMs: Long,
    @SerialName("w") val waitMs: Long,
) : PeerMessage

/** A home's verdict on a permit. */
@Serializable
enum class PermitVerdict {
    @SerialName("g")
    GRANTED,

    /** The run has come to full load: requests on it need no permit. */
    @SerialName("w")
    WARM,

    /** All permits are out and no room is left to wait. */
    @SerialName("b")
    BUSY,

    /** The asked instance is not or not yet the home; [PermitReply.home] may be. */
    @SerialName("n")
    NOT_HOME,
}

/** Answers [PermitRequest]; [retryAfterMs] says when a refused ask can succeed. */
@Serializable
@SerialName("pb")
data class PermitReply(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("i") val id: GrantId,
    @SerialName("v") val verdict: PermitVerdict,
    @SerialName("h") val home: String? = null,
    @SerialName("t") val retryAfterMs: Long = 0,
) : PeerMessage

/** Gives a permit back: its request has ended, or was never sent; [isCompleted] says whether it counts as a completion. */
@Serializable
@SerialName("pd")
data class PermitRelease(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("b") val backend: BackendId,
    @SerialName("i") val id: GrantId,
    @SerialName("c") val isCompleted: Boolean,
) : PeerMessage

/** Tells that [backend] was seen in a cold start as [run]. */
@Serializable
@SerialName("pc")
data class ColdStartNotice(
    @SerialName("b") val backend: BackendId,
    @SerialName("r") val run: RunId,
) : PeerMessage
