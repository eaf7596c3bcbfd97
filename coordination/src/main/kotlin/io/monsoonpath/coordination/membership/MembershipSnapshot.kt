package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision

/**
 * What this process knows about its place among the instances: an immutable snapshot.
 *
 * All times are on the own clock, in milliseconds.
 *
 * @property self this process
 * @property list the whole instance list in force, or null before the first one
 * @property cell the members of this process's cell in the list in force
 * @property unsettled older lists of the cell under which an instance may still hold something, oldest first
 * @property settled the revision below which every right has ended
 * @property leaseUntilMs when the right to act ends unless it is renewed
 * @property acquireUntilMs when the right under the list in force ends; only this one allows taking new resources
 * @property formerLeaseUntilMs when the right under the list before this one ends; not renewed
 * @property leaseEpoch a number that rises when a right lapsed; everything held under a lower one is lost
 * @property settledSinceMs since when all lists older than the one in force are settled, or null while some is not
 * @property recovering whether this process started too recently to take part
 */
class MembershipSnapshot internal constructor(
    val self: PeerId,
    val list: InstanceList?,
    val cell: CellMembers,
    val unsettled: List<CellMembers>,
    val settled: ListRevision,
    val leaseUntilMs: Long,
    val acquireUntilMs: Long,
    val formerLeaseUntilMs: Long,
    val leaseEpoch: Long,
    val settledSinceMs: Long?,
    val recovering: Boolean,
) {
    /** The revision of the list in force. */
    val revision: ListRevision get() = cell.revision

    /**
     * Returns whether this process may use what it holds; ask again at each use.
     *
     * A resource of which another instance is the home in the list in force may be used only as long as [mayKeep] says, too.
     */
    fun mayAct(nowMs: Long): Boolean = nowMs < leaseUntilMs

    /** Returns whether a resource held since the list before this one, whose home is now another, may still be used until handed over. */
    fun mayKeep(nowMs: Long): Boolean = nowMs < formerLeaseUntilMs && mayAct(nowMs)

    /** Returns whether this process may start to hold resources of which it is the home. */
    fun mayAcquire(nowMs: Long): Boolean = nowMs < acquireUntilMs

    /**
     * Returns since when a resource newly homed here may be used without a handover, or null as long as it may not.
     *
     * Such a resource starts empty. The answer is the same for all resources.
     */
    fun takeoverSinceMs(): Long? = settledSinceMs

    /** Returns the home of [resource] in this cell, or null before the first list. */
    fun homeOf(resource: Resource): InstanceId? = cell.homeOf(resource)

    /** Returns whether this process is the home of [resource]. */
    fun isHome(resource: Resource): Boolean = cell.homeOf(resource) == self.id

    /** Returns up to [k] homes of [resource] in this cell, best first. */
    fun homesOf(
        resource: Resource,
        k: Int,
    ): List<InstanceId> = cell.homesOf(resource, k)

    /**
     * Returns the other instances that may still hold [resource] under an older list.
     *
     * This process may use the resource once each has handed over or [takeoverSinceMs] is not null.
     */
    fun formerHomesOf(resource: Resource): Set<InstanceId> = unsettled.mapNotNullTo(LinkedHashSet()) { it.homeOf(resource) } - self.id
}
