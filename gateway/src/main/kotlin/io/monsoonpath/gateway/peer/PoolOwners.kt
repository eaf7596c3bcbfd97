package io.monsoonpath.gateway.peer

import io.monsoonpath.model.PoolId

/** Which instance batches for each pool, as this instance sees it. Must be used on the event loop only. */
internal interface PoolOwners {
    /** The hosts of the live members, including this instance. */
    val liveHosts: Set<String>

    /** The hosts that this instance does not reach both ways. */
    val unreachableHosts: Set<String>

    /** Returns the host of the instance that batches for [pool]. */
    fun ownerOf(pool: PoolId): String

    /** Registers [listener], which is called after each change of the owners or of [unreachableHosts]. */
    fun onChange(listener: () -> Unit)

    /** Watches the paths to the hosts that [hosts] returns, whose work this instance waits for. */
    fun watchPaths(hosts: () -> Set<String>)
}

/** Returns the owners of pools according to [membership]. */
internal fun poolOwnersOf(membership: Membership): PoolOwners =
    object : PoolOwners {
        override val liveHosts get() = membership.liveMembers.mapTo(HashSet()) { it.host }
        override val unreachableHosts get() = membership.unreachableHosts

        override fun ownerOf(pool: PoolId) = membership.ownerOf(pool.value)

        override fun onChange(listener: () -> Unit) = membership.onChange(listener)

        override fun watchPaths(hosts: () -> Set<String>) {
            membership.hostsInUse = hosts
        }
    }
