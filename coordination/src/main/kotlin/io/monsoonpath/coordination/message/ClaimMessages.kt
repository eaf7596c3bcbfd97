package io.monsoonpath.coordination.message

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The key of a claim. It includes the workspace, so that no workspace can block or read the claims of another. */
@Serializable
data class ClaimKey(
    @SerialName("w") val workspace: WorkspaceId,
    @SerialName("r") val request: RequestId,
)

/** The progress of a claimed request. A later phase replaces an earlier one. */
@Serializable
enum class ClaimPhase {
    /** The request is claimed and may be running. */
    @SerialName("r")
    RUNNING,

    /** The request may have run, and its result is lost. */
    @SerialName("u")
    UNKNOWN,

    /** The request has completed and its outcome is recorded. */
    @SerialName("f")
    FINISHED,
}

/** A claim as stored by a replica; [remainingMs] is the remaining time-to-live. */
@Serializable
data class ClaimRecord(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
    @SerialName("p") val phase: ClaimPhase,
    @SerialName("o") val outcome: String = "",
    @SerialName("t") val remainingMs: Long,
    @SerialName("x") val isContested: Boolean = false,
)

/** Requests the claim [id] for [key] from a replica. The request is idempotent. */
@Serializable
@SerialName("ca")
data class ClaimRequest(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
) : PeerMessage

/** The decision of a replica on a claim request. */
@Serializable
enum class ClaimVerdict {
    @SerialName("g")
    GRANTED,

    /** The key is held by another claim. */
    @SerialName("h")
    HELD,

    /** The replica may lack earlier claims, has no valid lease, or is not a replica of the key. A later request may succeed. */
    @SerialName("a")
    ABSTAINED,

    /** The replica cannot store another claim. */
    @SerialName("f")
    FULL,
}

/**
 * The reply to [ClaimRequest].
 *
 * @property revision the revision of the instance list of the decision; only grants under the same revision are counted together
 * @property homes the number of replicas of the key under that list
 * @property phase the phase of the claim that holds the key; valid with [ClaimVerdict.HELD]
 * @property outcome the recorded outcome of that claim, once finished
 */
@Serializable
@SerialName("cb")
data class ClaimReply(
    @SerialName("i") val id: GrantId,
    @SerialName("v") val verdict: ClaimVerdict,
    @SerialName("r") val revision: Long,
    @SerialName("h") val homes: Int,
    @SerialName("p") val phase: ClaimPhase = ClaimPhase.RUNNING,
    @SerialName("o") val outcome: String = "",
) : PeerMessage

/** Records the outcome of a claimed request. Acknowledged by [ClaimAck]. */
@Serializable
@SerialName("cf")
data class ClaimFinish(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
    @SerialName("p") val phase: ClaimPhase,
    @SerialName("o") val outcome: String = "",
) : PeerMessage

/** Releases a claim whose request was not sent. Acknowledged by [ClaimAck]. */
@Serializable
@SerialName("cr")
data class ClaimRelease(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
) : PeerMessage

/** Acknowledges [ClaimFinish] or [ClaimRelease]. */
@Serializable
@SerialName("cc")
data class ClaimAck(
    @SerialName("i") val id: GrantId,
) : PeerMessage
