package io.monsoonpath.coordination.replication

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.MemberState
import io.monsoonpath.model.Region

/** The roles of the members of an instance list from the perspective of [self]: platform readers and members that confirm freshness. */
internal class Topology(
    list: InstanceList,
    private val self: InstanceId,
    region: Region,
    private val domain: FailureDomain,
) {
    private val live = list.members.filter { it.state == MemberState.LIVE }.ifEmpty { list.members }
    private val readersByDomain = live.groupBy { it.domain }.mapValues { (domain, members) -> chooseReaders(domain, members.map { it.id }) }

    /** The number of members. */
    val size: Int = list.members.size

    /** All members except this instance. */
    val otherMembers: List<InstanceId> = list.members.map { it.id }.filter { it != self }

    /** The members of this instance's cell (the members in its region) except this instance. */
    val otherCellMembers: List<InstanceId> = list.members.filter { it.region == region && it.id != self }.map { it.id }

    /** The number of other cell members that must confirm. With this instance, they intersect every majority of the cell; at least 1. */
    val confirmationsNeeded: Int

    /** Whether this instance is the only member of its cell. */
    val isOnlyCellMember: Boolean

    /** The readers of this instance's failure domain except this instance. */
    val domainReaders: List<InstanceId> = readersByDomain[domain].orEmpty().filter { it != self }

    /** The readers of all failure domains except this instance. */
    val allReaders: List<InstanceId> = readersByDomain.values.flatten().filter { it != self }

    /** Whether this instance reads the platform for its failure domain. */
    val isReader: Boolean = self in readersByDomain[domain].orEmpty()

    /** The members that a reader notifies of a newer document: its failure domain and the readers of all other domains. */
    val notified: List<InstanceId> = (list.members.filter { it.domain == domain && it.id != self }.map { it.id } + allReaders).distinct()

    private val readerIds = readersByDomain.values.flatten().toSet()

    init {
        val isMember = list.members.any { it.id == self }
        val cellSize = otherCellMembers.size + if (isMember) 1 else 0
        isOnlyCellMember = isMember && cellSize == 1
        confirmationsNeeded = maxOf(1, cellSize - cellSize / 2 - if (isMember) 1 else 0)
    }

    /** Returns whether [id] reads the platform for its failure domain. */
    fun isReader(id: InstanceId): Boolean = id in readerIds
}

/** Chooses the readers of [domain] among [members] by rendezvous hashing, so that a change of members changes few readers. */
internal fun chooseReaders(
    domain: FailureDomain,
    members: List<InstanceId>,
): List<InstanceId> {
    val salt = HASHER.hashCharsToLong(domain.value)
    return members.sortedByDescending { HASHER.hashLongLongToLong(HASHER.hashCharsToLong(it.value), salt) }.take(READERS_PER_DOMAIN)
}

private val HASHER = Hashing.komihash5_0()
private const val READERS_PER_DOMAIN = 2
