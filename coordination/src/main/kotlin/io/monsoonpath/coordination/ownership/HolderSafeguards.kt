package io.monsoonpath.coordination.ownership

/** Checks required for safety; tests disable one at a time to verify that they detect its absence. */
internal data class HolderSafeguards(
    val claimQuorum: Boolean = true,
    val restartAbstains: Boolean = true,
    val takeoverWait: Boolean = true,
    val fencingRises: Boolean = true,
    val permitOutlivesTimeout: Boolean = true,
)
