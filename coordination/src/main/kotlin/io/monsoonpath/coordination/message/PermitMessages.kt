package io.monsoonpath.coordination.message

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.model.BackendId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Identifies one run of a backend server, from one cold start to the next. The server chooses the id.
 *
 * A server that reports no run id is assigned a new id for each connection.
 */
@JvmInline
@Serializable
value class RunId(
    val value: String,
) {
    override fun toString(): String = value
}

/** A permit granted by its owner; [remainingMs] is the time until it expires. */
@Serializable
data class PermitRecord(
    @SerialName("b") val backend: BackendId,
    @SerialName("i") val id: GrantId,
    @SerialName("r") val run: RunId,
    @SerialName("t") val remainingMs: Long,
    @SerialName("s") val slotRemainingMs: Long = 0,
)

/** The number of completed requests that an owner has counted for a run. */
@Serializable
data class RunRecord(
    @SerialName("b") val backend: BackendId,
    @SerialName("r") val run: RunId,
    @SerialName("c") val completions: Int,
)

/**
 * Requests a permit for one request from the owner of [backend]. The request is idempotent.
 *
 * @property kind the kind of permit: for a request or for a load from the weight store
 * @property run the run that the requester is connected to; the permit is valid for this run only
 * @property budgetMs the maximum duration of the request from the permit request on, without the grace period
 * @property waitMs how long the owner may queue the permit request
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

/** The decision of an owner on a permit request. */
@Serializable
enum class PermitVerdict {
    @SerialName("g")
    GRANTED,

    /** The run is warmed up to full load, so requests to it need no permit. */
    @SerialName("w")
    WARM,

    /** All permits are in use and the queue is full. */
    @SerialName("b")
    BUSY,

    /** The receiver is not the owner, or not yet. [PermitReply.home] may be the owner. */
    @SerialName("n")
    NOT_HOME,
}

/** The reply to [PermitRequest]. A refused request may succeed after [retryAfterMs]. */
@Serializable
@SerialName("pb")
data class PermitReply(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("i") val id: GrantId,
    @SerialName("v") val verdict: PermitVerdict,
    @SerialName("h") val home: String? = null,
    @SerialName("t") val retryAfterMs: Long = 0,
) : PeerMessage

/** Releases a permit whose request has ended or was not sent. [isCompleted] is true if it counts as a completed request. */
@Serializable
@SerialName("pd")
data class PermitRelease(
    @SerialName("k") val kind: HandoverKind,
    @SerialName("b") val backend: BackendId,
    @SerialName("i") val id: GrantId,
    @SerialName("c") val isCompleted: Boolean,
) : PeerMessage

/** Reports that a cold start of [backend] was observed, with the id [run]. */
@Serializable
@SerialName("pc")
data class ColdStartNotice(
    @SerialName("b") val backend: BackendId,
    @SerialName("r") val run: RunId,
) : PeerMessage
