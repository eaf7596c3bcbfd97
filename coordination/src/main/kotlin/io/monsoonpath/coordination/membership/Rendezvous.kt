package io.monsoonpath.coordination.membership

import com.dynatrace.hash4j.hashing.Hashing
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.MemberState

/** The hash of a resource that has homes, such as a unit of a workspace's limit or a backend server's permits. */
@JvmInline
value class Resource(
    val key: Long,
)

/** Returns the resource called [name] among those of one [kind]; [index] numbers its parts. */
fun resourceOf(
    kind: String,
    name: String,
    index: Int = 0,
): Resource = Resource(HASHER.hashLongLongLongToLong(HASHER.hashCharsToLong(kind), HASHER.hashCharsToLong(name), index.toLong()))

/**
 * The members of one cell in one revision of the instance list.
 *
 * Homes are chosen by rendezvous hashing, so a change of members moves only the resources of the members that changed.
 */
class CellMembers(
    val revision: ListRevision,
    members: List<Member>,
) {
    /** The members in the order of their ids. */
    val members: List<Member> = members.sortedBy { it.id }
    private val ids = this.members.mapTo(HashSet()) { it.id }
    private val live = this.members.filter { it.state == MemberState.LIVE }.ifEmpty { this.members }
    private val liveKeys = LongArray(live.size) { HASHER.hashCharsToLong(live[it].id.value) }

    /** The number of members, live and leaving. */
    val size: Int get() = members.size

    /** How many members have to confirm a newer list before resources move without a handover: a majority. */
    val confirmQuorum: Int get() = if (size == 0) 0 else size / 2 + 1

    /** How many members have to vouch for the right to act; any such set shares a member with each that confirms. */
    val leaseQuorum: Int get() = if (size == 0) 1 else size - confirmQuorum + 1

    /** Returns whether [id] is a member. */
    operator fun contains(id: InstanceId): Boolean = id in ids

    /** Returns the home of [resource] among the live members, or null in an empty cell. */
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

    /** Returns up to [k] homes of [resource], best first. */
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
