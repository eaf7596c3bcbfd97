package io.monsoonpath.coordination.gossip

/**
 * Returns the hosts of [members] that may own keys: those that are not leaving and have at least half of the capacity of the largest.
 *
 * An owner works for all instances. In a fleet of machines of very different size, a small one could not keep up, and all would wait.
 */
fun ownerCandidates(members: List<MemberDigest>): List<String> {
    val staying = members.filterNot { it.isLeaving }
    val largest = staying.maxOfOrNull { it.capacityMillicores } ?: return emptyList()
    return staying.filter { it.capacityMillicores * LARGEST_TO_SMALLEST_OWNER >= largest }.map { it.host }
}

/** How many times larger than the smallest candidate the largest may be. */
private const val LARGEST_TO_SMALLEST_OWNER = 2
