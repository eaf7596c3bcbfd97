package io.monsoonpath.coordination.replication

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.MemberState
import io.monsoonpath.model.Region

/** What an instance list says about who reads the platform and who vouches, seen from [self]. */
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

    /** All members but this process's instance. */
    val otherMembers: List<InstanceId> = list.members.map { it.id }.filter { it != self }

    /** The members of this process's cell but its own instance. */
    val otherCellMembers: List<InstanceId> = list.members.filter { it.region == region && it.id != self }.map { it.id }

    /** How many other cell members have to vouch; with this process they share a member with each majority, and at least one is asked. */
    val confirmationsNeeded: Int

    /** Whether this process's instance is the only member of its cell. */
    val isOnlyCellMember: Boolean

    /** The readers of this process's failure domain but its own instance. */
    val domainReaders: List<InstanceId> = readersByDomain[domain].orEmpty().filter { it != self }

    /** The readers of all failure domains but this process's instance. */
    val allReaders: List<InstanceId> = readersByDomain.values.flatten().filter { it != self }

    /** Whether this process reads the platform for its failure domain. */
    val isReader: Boolean = self in readersByDomain[domain].orEmpty()

    /** Whom a reader tells of a newer document: its failure domain, and the readers of the otherMembers. */
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

/** Chooses the readers of [domain] among [members] by rendezvous hashing, so that few change when members do. */
internal fun chooseReaders(
    domain: FailureDomain,
    members: List<InstanceId>,
): List<InstanceId> {
    val salt = HASHER.hashCharsToLong(domain.value)
    return members.sortedByDescending { HASHER.hashLongLongToLong(HASHER.hashCharsToLong(it.value), salt) }.take(READERS_PER_DOMAIN)
}

private val HASHER = Hashing.komihash5_0()
private const val READERS_PER_DOMAIN = 2
