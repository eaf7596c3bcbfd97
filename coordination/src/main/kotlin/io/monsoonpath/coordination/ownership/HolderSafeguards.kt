package io.monsoonpath.coordination.ownership

/** The checks that safety rests on; tests switch single ones off to prove that the loss is noticed. */
internal data class HolderSafeguards(
    val claimQuorum: Boolean = true,
    val restartAbstains: Boolean = true,
    val takeoverWait: Boolean = true,
    val fencingRises: Boolean = true,
    val permitOutlivesTimeout: Boolean = true,
)
