package io.monsoonpath.coordination

import io.monsoonpath.coordination.message.ClaimPhase

/** How a claim ended. */
sealed interface ClaimOutcome {
    /** The request may be sent, once, until [useUntilMs] on the own clock; ask the decision again at the send. */
    data class Granted(
        val useUntilMs: Long,
    ) : ClaimOutcome

    /** The request id was claimed before; [outcome] is its recorded outcome once it is finished. */
    data class Duplicate(
        val phase: ClaimPhase,
        val outcome: String,
    ) : ClaimOutcome

    /** Nothing was sent and nothing may be. */
    data class Refused(
        val reason: ClaimRefusal,
    ) : ClaimOutcome
}

/** Why a claim was refused. */
enum class ClaimRefusal {
    /** Too few homes of the id answered that they can know of all earlier claims. */
    UNREACHABLE,

    /** The homes remember as many claims as they can; none is forgotten early. */
    FULL,

    /** This process lost its right to act before the claim was decided. */
    NO_RIGHT,
}
