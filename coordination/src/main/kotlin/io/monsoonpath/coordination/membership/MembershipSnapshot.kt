package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision

/**
 * An immutable snapshot of the membership and of the lease of this process.
 *
 * All times are in milliseconds on the clock of this process.
 *
 * @property self this process
 * @property list the current instance list with the members of all regions, or null before the first one
 * @property cell the members of this process's cell in the current list
 * @property unsettled the older lists of the cell under which an instance may still hold resources, oldest first
 * @property settled the revision below which all leases have ended
 * @property leaseUntilMs when the lease ends unless it is renewed
 * @property acquireUntilMs when the lease under the current list ends; only this lease allows acquiring resources
 * @property formerLeaseUntilMs when the lease under the previous list ends; it is not renewed
 * @property leaseEpoch a number that rises whenever the lease expires; resources held since a lower epoch are lost
 * @property settledSinceMs since when all lists older than the current one have been settled, or null if some are not
 * @property recovering whether this process started too recently to take part in quorums
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
    /** The revision of the current list. */
    val revision: ListRevision get() = cell.revision

    /**
     * Returns whether this process holds a valid lease and so may use its resources; to be checked at each use.
     *
     * A resource whose home in the current list is another instance also requires [mayKeep].
     */
    fun mayAct(nowMs: Long): Boolean = nowMs < leaseUntilMs

    /** Returns whether a resource that the current list has assigned to another home may still be used until it is handed over. */
    fun mayKeep(nowMs: Long): Boolean = nowMs < formerLeaseUntilMs && mayAct(nowMs)

    /** Returns whether this process may acquire resources for which it is the home. */
    fun mayAcquire(nowMs: Long): Boolean = nowMs < acquireUntilMs

    /**
     * Returns since when resources newly assigned to this process can be used without a handover, or null if they can't be yet.
     *
     * Such a resource starts empty. The result is the same for all resources.
     */
    fun takeoverSinceMs(): Long? = settledSinceMs

    /** Returns the home of [resource] in this cell, or null before the first list. */
    fun homeOf(resource: Resource): InstanceId? = cell.homeOf(resource)

    /** Returns whether this process is the home of [resource]. */
    fun isHome(resource: Resource): Boolean = cell.homeOf(resource) == self.id

    /** Returns up to [k] homes of [resource] in this cell, in descending order of their scores. */
    fun homesOf(
        resource: Resource,
        k: Int,
    ): List<InstanceId> = cell.homesOf(resource, k)

    /**
     * Returns the other instances that may still hold [resource] under an older list.
     *
     * This process may use the resource once all of them have handed it over or [takeoverSinceMs] is not null.
     */
    fun formerHomesOf(resource: Resource): Set<InstanceId> = unsettled.mapNotNullTo(LinkedHashSet()) { it.homeOf(resource) } - self.id
}
