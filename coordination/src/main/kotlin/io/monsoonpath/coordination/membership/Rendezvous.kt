package io.monsoonpath.coordination.membership

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState

/** The hash of a resource that is assigned to instances, such as a unit of a workspace's limit or the permits of a backend server. */
@JvmInline
value class Resource(
    val key: Long,
)

/** Returns the resource of a [kind] with a [name]; [index] distinguishes the parts of a divided resource. */
fun resourceOf(
    kind: String,
    name: String,
    index: Int = 0,
): Resource = Resource(HASHER.hashLongLongLongToLong(HASHER.hashCharsToLong(kind), HASHER.hashCharsToLong(name), index.toLong()))

/**
 * The members of one cell, that is, of one region, in one revision of the instance list.
 *
 * Each resource is assigned to a live member, its home, by rendezvous hashing. A membership change therefore moves only resources of the
 * members that joined or left.
 */
class CellMembers(
    val revision: ListRevision,
    members: List<Member>,
) {
    /** The members, sorted by id. */
    val members: List<Member> = members.sortedBy { it.id }
    private val ids = this.members.mapTo(HashSet()) { it.id }
    private val live = this.members.filter { it.state == MemberState.LIVE }.ifEmpty { this.members }
    private val liveKeys = LongArray(live.size) { HASHER.hashCharsToLong(live[it].id.value) }

    /** The number of members, both live and leaving. */
    val size: Int get() = members.size

    /** The number of members, a majority, that have to confirm a newer list before resources move without a handover. */
    val confirmQuorum: Int get() = if (size == 0) 0 else size / 2 + 1

    /** The number of members that have to grant a lease; any such quorum shares a member with each confirm quorum. */
    val leaseQuorum: Int get() = if (size == 0) 1 else size - confirmQuorum + 1

    /** Returns whether [id] is a member. */
    operator fun contains(id: InstanceId): Boolean = id in ids

    /** Returns the home of [resource] among the live members, or null if the cell is empty. */
    fun homeOf(resource: Resource): InstanceId? {
        var best = -1
        var bestScore = Long.MIN_VALUE
        for (i in liveKeys.indices) {
            val score = HASHER.hashLongLongToLong(liveKeys[i], resource.key)
            if (best < 0 || score > bestScore) {
                best = i
                bestScore = score
            }
        }
        return if (best < 0) null else live[best].id
    }

    /** Returns up to [k] homes of [resource], in descending order of their scores. */
    fun homesOf(
        resource: Resource,
        k: Int,
    ): List<InstanceId> =
        live.indices
            .sortedByDescending { HASHER.hashLongLongToLong(liveKeys[it], resource.key) }
            .take(k)
            .map { live[it].id }
}

private val HASHER = Hashing.komihash5_0()
