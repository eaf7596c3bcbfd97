package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.ListStatusReply
import io.monsoonpath.coordination.message.ListStatusRequest
import io.monsoonpath.coordination.message.ListsReply
import io.monsoonpath.coordination.message.ListsRequest
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.Event
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Region

/**
 * Maintains the lease of this process, and determines when the leases of other processes under older instance lists have ended.
 *
 * A lease under a list lasts [MembershipTiming.leaseMs] from the moment at which its lease quorum was queried. A resource moves without
 * a handover once the confirm quorum of each older list has adopted a newer list and the leases under the older one have expired. The
 * two quorums share a member, so no resource is used by two processes.
 *
 * All functions must be called on one thread; [snapshot] can be read on any.
 */
class Membership internal constructor(
    private val self: PeerId,
    private val region: Region,
    private val timing: MembershipTiming,
    private val startedMs: Long,
    private val safeguards: Safeguards,
) {
    /** Creates the membership of the process [self], which started in [region] at [startedMs] on its own clock. */
    constructor(self: PeerId, region: Region, timing: MembershipTiming, startedMs: Long) :
        this(self, region, timing, startedMs, Safeguards())

    private val lists = KnownLists(region)
    private val peers = PeerViews()
    private val lease = Lease()
    private var recovering = true
    private var committedRevision = ListRevision.NONE
    private var settledSinceMs: Long? = null

    /** The latest snapshot. */
    @Volatile
    var snapshot: MembershipSnapshot = buildSnapshot()
        private set

    /** Adds [list], received from [source], the platform or a peer; it becomes the current list only if it is newer. */
    fun onList(
        nowMs: Long,
        list: InstanceList,
        source: String = "platform",
    ): List<Effect> {
        lease.checkExpiry(nowMs, safeguards.expiryDropsHoldings)
        val before = lists.newestRevision
        if (!lists.add(list, nowMs)) return emptyList()
        val effects = ArrayList<Effect>()
        if (lists.newestRevision > before) {
            settledSinceMs = null
            lease.endAcquisition()
            effects += Effect.Emit(Event.InstanceListAdopted(list.revision, source))
        }
        evaluate(nowMs, effects)
        queryPeers(nowMs, effects, force = true)
        return effects
    }

    /** Handles a message from a peer; messages about anything other than membership are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> {
        lease.checkExpiry(nowMs, safeguards.expiryDropsHoldings)
        val effects = ArrayList<Effect>()
        when (message) {
            is ListStatusRequest -> onAsk(nowMs, from, message, effects)
            is ListStatusReply -> onAnswer(nowMs, from, message, effects)
            is ListsRequest -> onRequest(from, message, effects)
            is ListsReply -> message.lists.sortedBy { it.revision }.forEach { effects += onList(nowMs, it, from.id.value) }
            else -> Unit
        }
        return effects
    }

    /** Renews the lease and repeats unanswered queries; to be called about every 50 ms. */
    fun onTick(nowMs: Long): List<Effect> {
        val effects = ArrayList<Effect>()
        lease.checkExpiry(nowMs, safeguards.expiryDropsHoldings)
        evaluate(nowMs, effects)
        queryPeers(nowMs, effects, force = false)
        return effects
    }

    private fun onAsk(
        nowMs: Long,
        from: PeerId,
        ask: ListStatusRequest,
        effects: MutableList<Effect>,
    ) {
        val missing = lists.missing(listOf(ask.newest, ask.settled))
        if (missing.isNotEmpty()) effects += Effect.Send(from.id, ListsRequest(missing))
        effects +=
            Effect.Send(
                from.id,
                ListStatusReply(
                    toIncarnation = from.incarnation.value,
                    sentAtMs = ask.sentAtMs,
                    newest = lists.newestRevision.value,
                    settled = lists.settled.value,
                    unsettled = lists.unsettled().map { it.revision.value },
                    isRecovering = recovering,
                ),
            )
        adoptSettled(nowMs, ask.settled, effects)
    }

    private fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: ListStatusReply,
        effects: MutableList<Effect>,
    ) {
        if (answer.toIncarnation != self.incarnation.value) return
        if (!peers.record(from, answer)) return
        val missing = lists.missing(answer.unsettled + answer.newest + answer.settled)
        if (missing.isNotEmpty()) effects += Effect.Send(from.id, ListsRequest(missing))
        adoptSettled(nowMs, answer.settled, effects)
        evaluate(nowMs, effects)
    }

    private fun adoptSettled(
        nowMs: Long,
        settled: Long,
        effects: MutableList<Effect>,
    ) {
        if (lists.settleReported(ListRevision(settled))) evaluate(nowMs, effects)
    }

    private fun onRequest(
        from: PeerId,
        request: ListsRequest,
        effects: MutableList<Effect>,
    ) {
        val found = request.revisions.take(MAX_LISTS_PER_REPLY).mapNotNull { lists.find(it) }
        if (found.isNotEmpty()) effects += Effect.Send(from.id, ListsReply(found))
    }

    private fun evaluate(
        nowMs: Long,
        effects: MutableList<Effect>,
    ) {
        if (lists.newest != null) {
            if (recovering && hasRecovered(nowMs)) {
                recovering = false
                effects += Effect.Emit(Event.StateChanged("membership", "recovered"))
            }
            if (!recovering) {
                commit(nowMs)
                settle(nowMs)
                renewLease(nowMs, effects)
            }
        }
        snapshot = buildSnapshot()
    }

    /**
     * Returns whether this process may take part in quorums.
     *
     * That requires that all leases that an earlier process of its id helped to grant have ended, and that a lease quorum of each list has
     * answered since. After [MembershipTiming.takeoverMs], recent answers of all other members of the current list suffice.
     */
    private fun hasRecovered(nowMs: Long): Boolean {
        if (!safeguards.recoverySilence) return true
        val readyAtMs = startedMs + timing.expiryWaitMs
        if (nowMs < readyAtMs) return false
        val newest = lists.newestCell
        if (nowMs >= startedMs + timing.takeoverMs && allOthersAnswered(newest, nowMs)) return true
        return (lists.unsettled() + newest).all { list ->
            peers.count(list, self.id) { it.queriedAtMs >= readyAtMs && !it.recovering && lists.hasAllListsOf(it) } >= list.leaseQuorum
        }
    }

    private fun allOthersAnswered(
        newest: CellMembers,
        nowMs: Long,
    ): Boolean =
        newest.members.all {
            it.id == self.id ||
                peers.matches(it.id) { view -> isRecent(view, nowMs) && lists.hasAllListsOf(view) }
        }

    /**
     * Commits the current list, under which a lease can then be granted.
     *
     * A confirm quorum of each older list has to adopt it first, so that no quorum can skip it unnoticed.
     */
    private fun commit(nowMs: Long) {
        val newest = lists.newestCell
        if (committedRevision == newest.revision) return
        val isCommitted =
            lists.unsettled().all { older ->
                countConfirmations(older, nowMs) { it.newest == newest.revision.value } >= older.confirmQuorum
            }
        if (isCommitted || !safeguards.commitLists) committedRevision = newest.revision
    }

    private fun settle(nowMs: Long) {
        val newest = lists.newestCell
        for (older in lists.unsettled()) {
            if (lists.confirmedAtMs(older.revision) == null && isConfirmed(older, newest, nowMs)) lists.markConfirmed(older.revision, nowMs)
        }
        lists.settleConfirmed(nowMs - if (safeguards.takeoverWait) timing.expiryWaitMs else 0)
        if (settledSinceMs == null && lists.unsettled().isEmpty()) settledSinceMs = nowMs
    }

    private fun isConfirmed(
        older: CellMembers,
        newest: CellMembers,
        nowMs: Long,
    ): Boolean {
        val adoptedNewer: (PeerView) -> Boolean = { it.newest > older.revision.value }
        if (countConfirmations(older, nowMs, adoptedNewer) >= older.confirmQuorum) return true
        val supersededSinceMs = lists.supersededSinceMs(older.revision) ?: return false
        return nowMs - supersededSinceMs >= timing.takeoverMs &&
            older.members.all {
                it.id == self.id || it.id !in newest || peers.matches(it.id) { view -> isRecent(view, nowMs) && adoptedNewer(view) }
            }
    }

    private fun countConfirmations(
        list: CellMembers,
        nowMs: Long,
        condition: (PeerView) -> Boolean,
    ): Int {
        val own = if (self.id in list) 1 else 0
        return own + peers.count(list, self.id) { !it.recovering && isRecent(it, nowMs) && lists.hasAllListsOf(it) && condition(it) }
    }

    /**
     * Returns whether the answer is younger than a lease.
     *
     * A restarted process is excluded from quorums for longer than that, so the sender of a recent answer can't have lost its state and
     * count again.
     */
    private fun isRecent(
        view: PeerView,
        nowMs: Long,
    ): Boolean = view.queriedAtMs > nowMs - timing.leaseMs

    private fun renewLease(
        nowMs: Long,
        effects: MutableList<Effect>,
    ) {
        val newest = lists.newestCell
        if (self.id !in newest || committedRevision != newest.revision) return
        val othersNeeded = newest.leaseQuorum - 1
        val grantedAtMs =
            if (othersNeeded == 0) {
                nowMs
            } else {
                peers.kthNewest(
                    newest,
                    self.id,
                    othersNeeded,
                ) { it.newest == newest.revision.value && !it.recovering && lists.hasAllListsOf(it) }
            }
        if (grantedAtMs != null && lease.renew(nowMs, grantedAtMs + timing.leaseMs)) {
            effects += Effect.Emit(Event.StateChanged("right", "held", "list ${newest.revision}"))
        }
    }

    private fun queryPeers(
        nowMs: Long,
        effects: MutableList<Effect>,
        force: Boolean,
    ) {
        if (lists.newest == null) return
        for (id in queryTargets(nowMs)) {
            if (!force && !peers.isQueryDue(id, nowMs, timing.retryMs)) continue
            peers.recordQuery(id, nowMs)
            effects += Effect.Send(id, ListStatusRequest(nowMs, lists.newestRevision.value, lists.settled.value))
        }
    }

    /**
     * Returns the members to query.
     *
     * These are all members during recovery or a list change, or if the lease is about to end. Otherwise, for a due renewal, a lease
     * quorum and one spare are taken from the members that follow in a ring, which spreads the queries evenly.
     */
    private fun queryTargets(nowMs: Long): List<InstanceId> {
        val newest = lists.newestCell
        val remainingMs = lease.untilMs - nowMs
        val isInTransition = recovering || committedRevision != newest.revision || lists.unsettled().isNotEmpty()
        val allOthers = (lists.unsettled() + newest).flatMapTo(LinkedHashSet()) { list -> list.members.map { it.id } } - self.id
        return when {
            isInTransition || remainingMs < timing.leaseMs / 2 -> allOthers.toList()
            remainingMs > timing.leaseMs - timing.renewAfterMs -> emptyList()
            else -> ringSuccessors(newest).take(newest.leaseQuorum - 1 + SPARE_LEASE_QUERIES)
        }
    }

    private fun ringSuccessors(list: CellMembers): List<InstanceId> {
        val ids = list.members.map { it.id }
        val at = ids.indexOf(self.id)
        return ids.drop(at + 1) + ids.take(at.coerceAtLeast(0))
    }

    private fun buildSnapshot() =
        MembershipSnapshot(
            self = self,
            list = lists.newest,
            cell = lists.newestCell,
            unsettled = lists.unsettled(),
            settled = lists.settled,
            leaseUntilMs = lease.untilMs,
            acquireUntilMs = lease.acquireUntilMs,
            formerLeaseUntilMs = lease.formerLeaseUntilMs,
            leaseEpoch = lease.epoch,
            settledSinceMs = settledSinceMs,
            recovering = recovering,
        )

    private companion object {
        const val SPARE_LEASE_QUERIES = 1
        const val MAX_LISTS_PER_REPLY = 8
    }
}
