package io.monsoonpath.coordination.message

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.WorkspaceId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a claim is for; the workspace is part of it, so that none can block or read another's claims. */
@Serializable
data class ClaimKey(
    @SerialName("w") val workspace: WorkspaceId,
    @SerialName("r") val request: RequestId,
)

/** How far the request of a claim has come; a later phase replaces an earlier one. */
@Serializable
enum class ClaimPhase {
    /** It was claimed; it may be running. */
    @SerialName("r")
    RUNNING,

    /** It may have run, and nobody will learn its result. */
    @SerialName("u")
    UNKNOWN,

    /** It ran to its end; its outcome is recorded. */
    @SerialName("f")
    FINISHED,
}

/** A claim as a holder remembers it; [remainingMs] is the rest of its time-to-live. */
@Serializable
data class ClaimRecord(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
    @SerialName("p") val phase: ClaimPhase,
    @SerialName("o") val outcome: String = "",
    @SerialName("t") val remainingMs: Long,
    @SerialName("x") val isContested: Boolean = false,
)

/** Asks a holder to grant the claim [id] for [key]; it may be repeated. */
@Serializable
@SerialName("ca")
data class ClaimRequest(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
) : PeerMessage

/** A holder's verdict on a claim. */
@Serializable
enum class ClaimVerdict {
    @SerialName("g")
    GRANTED,

    /** Another claim holds the key. */
    @SerialName("h")
    HELD,

    /** The holder cannot know all earlier claims, has no right to act, or is not a home of the key; a later ask may succeed. */
    @SerialName("a")
    ABSTAINED,

    /** The holder has no room for another claim. */
    @SerialName("f")
    FULL,
}

/**
 * Answers [ClaimRequest].
 *
 * @property revision the list under which the holder decided; only grants under the same list add up
 * @property homes how many homes the key has under that list
 * @property phase how far the claim that holds the key has come, with [ClaimVerdict.HELD]
 * @property outcome its recorded outcome, once finished
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

/** Records how the claimed request ended; answered by [ClaimAck]. */
@Serializable
@SerialName("cf")
data class ClaimFinish(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
    @SerialName("p") val phase: ClaimPhase,
    @SerialName("o") val outcome: String = "",
) : PeerMessage

/** Gives the claim back, because nothing of the request was sent; answered by [ClaimAck]. */
@Serializable
@SerialName("cr")
data class ClaimRelease(
    @SerialName("k") val key: ClaimKey,
    @SerialName("i") val id: GrantId,
) : PeerMessage

/** Confirms [ClaimFinish] or [ClaimRelease]. */
@Serializable
@SerialName("cc")
data class ClaimAck(
    @SerialName("i") val id: GrantId,
) : PeerMessage
