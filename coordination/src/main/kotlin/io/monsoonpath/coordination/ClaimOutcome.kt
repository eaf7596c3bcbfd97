package io.monsoonpath.coordination

import io.monsoonpath.coordination.message.ClaimPhase

/** The result of a claim. */
sealed interface ClaimOutcome {
    /** The request may be sent once, before [useUntilMs] on the local clock. Check the lease again when sending. */
    data class Granted(
        val useUntilMs: Long,
    ) : ClaimOutcome

    /** The request id is already claimed. [outcome] is the recorded outcome once the phase is finished. */
    data class Duplicate(
        val phase: ClaimPhase,
        val outcome: String,
    ) : ClaimOutcome

    /** Nothing was sent, and the request must not be sent. */
    data class Refused(
        val reason: ClaimRefusal,
    ) : ClaimOutcome
}

/** Why a claim was refused. */
enum class ClaimRefusal {
    /** Too few replicas of the id replied that they have a complete record of earlier claims. */
    UNREACHABLE,

    /** The replicas store as many claims as they can; no claim is evicted before it expires. */
    FULL,

    /** This process's lease expired before the claim was decided. */
    NO_RIGHT,
}
