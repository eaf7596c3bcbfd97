package io.monsoonpath.gateway.choice

/**
 * An instance's view of the fleet, used to divide limits that apply to all instances together.
 *
 * @property maxMembers the number of instances among which a limit is divided, at least the configured maximum
 * @property ownHost the host of this instance
 * @property hosts the hosts of the live instances, including this one
 */
class FleetView(
    val maxMembers: Int,
    val ownHost: String,
    val hosts: List<String>,
)
