package io.monsoonpath.coordination.membership

import io.monsoonpath.coordination.Effect
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.AskList
import io.monsoonpath.coordination.message.ListAnswer
import io.monsoonpath.coordination.message.ListsReply
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.RequestLists
import io.monsoonpath.model.Event
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Region

/**
 * Decides whether this process may act, and when what others held has ended.
 *
 * The right under a list lasts `rightMs` from the moment at which the vouching quorum was asked. A resource moves without a
 * handover once the confirming quorum of each older list has adopted a newer one and the rights of that list have run out. The two
 * quorums share a member, so no resource has two users. The class is for one thread; [standing] may be read by any.
 */
class Membership internal constructor(
    private val self: PeerId,
    private val region: Region,
    private val timing: MembershipTiming,
    private val startedMs: Long,
    private val safeguards: Safeguards,
) {
    /** Creates the decision of the process [self], which started at [startedMs] in [region]. */
    constructor(self: PeerId, region: Region, timing: MembershipTiming, startedMs: Long) :
        this(self, region, timing, startedMs, Safeguards())

    private val known = KnownLists(region)
    private val peers = PeerViews()
    private val right = Right()
    private var recovering = true
    private var anchored = ListRevision.NONE
    private var settledSinceMs: Long? = null

    /** The latest snapshot; it is replaced, never changed. */
    @Volatile
    var standing: Standing = publish()
        private set

    /** Takes a list that the platform or a peer published; only a newer one replaces the one in force. */
    fun onList(
        nowMs: Long,
        list: InstanceList,
        source: String = "platform",
    ): List<Effect> {
        right.noteLapse(nowMs, safeguards.lapseDropsHoldings)
        val before = known.newestRevision
        if (!known.add(list, nowMs)) return emptyList()
        val effects = ArrayList<Effect>()
        if (known.newestRevision > before) {
            settledSinceMs = null
            right.endAcquire()
            effects += Effect.Emit(Event.ListAdopted(list.revision, source))
        }
        evaluate(nowMs, effects)
        ask(nowMs, effects, force = true)
        return effects
    }

    /** Takes a message from a peer; messages of other concepts are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<Effect> {
        right.noteLapse(nowMs, safeguards.lapseDropsHoldings)
        val effects = ArrayList<Effect>()
        when (message) {
            is AskList -> onAsk(nowMs, from, message, effects)
            is ListAnswer -> onAnswer(nowMs, from, message, effects)
            is RequestLists -> onRequest(from, message, effects)
            is ListsReply -> message.lists.sortedBy { it.revision }.forEach { effects += onList(nowMs, it, from.id.value) }
            else -> Unit
        }
        return effects
    }

    /** Renews the right and repeats unanswered questions; call it every 50 ms or so. */
    fun onTick(nowMs: Long): List<Effect> {
        val effects = ArrayList<Effect>()
        right.noteLapse(nowMs, safeguards.lapseDropsHoldings)
        evaluate(nowMs, effects)
        ask(nowMs, effects, force = false)
        return effects
    }

    private fun onAsk(
        nowMs: Long,
        from: PeerId,
        ask: AskList,
        effects: MutableList<Effect>,
    ) {
        val missing = known.missing(listOf(ask.newest, ask.settled))
        if (missing.isNotEmpty()) effects += Effect.Send(from.id, RequestLists(missing))
        effects +=
            Effect.Send(
                from.id,
                ListAnswer(
                    to = from.incarnation.value,
                    sentAtMs = ask.sentAtMs,
                    newest = known.newestRevision.value,
                    settled = known.settled.value,
                    unsettled = known.unsettled().map { it.revision.value },
                    recovering = recovering,
                ),
            )
        adoptSettled(nowMs, ask.settled, effects)
    }

    private fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: ListAnswer,
        effects: MutableList<Effect>,
    ) {
        if (answer.to != self.incarnation.value) return
        if (!peers.note(from, answer)) return
        val missing = known.missing(answer.unsettled + answer.newest + answer.settled)
        if (missing.isNotEmpty()) effects += Effect.Send(from.id, RequestLists(missing))
        adoptSettled(nowMs, answer.settled, effects)
        evaluate(nowMs, effects)
    }

    private fun adoptSettled(
        nowMs: Long,
        settled: Long,
        effects: MutableList<Effect>,
    ) {
        if (known.settleAsClaimed(ListRevision(settled))) evaluate(nowMs, effects)
    }

    private fun onRequest(
        from: PeerId,
        request: RequestLists,
        effects: MutableList<Effect>,
    ) {
        val lists = request.revisions.take(MAX_LISTS_PER_REPLY).mapNotNull { known.whole(it) }
        if (lists.isNotEmpty()) effects += Effect.Send(from.id, ListsReply(lists))
    }

    private fun evaluate(
        nowMs: Long,
        effects: MutableList<Effect>,
    ) {
        if (known.newest != null) {
            if (recovering && recovered(nowMs)) {
                recovering = false
                effects += Effect.Emit(Event.StateChanged("membership", "recovered"))
            }
            if (!recovering) {
                anchor(nowMs)
                settle(nowMs)
                renew(nowMs, effects)
            }
        }
        standing = publish()
    }

    /** A started process takes part once the rights of its predecessor's time have ended and enough members told what they know. */
    private fun recovered(nowMs: Long): Boolean {
        if (!safeguards.recoverySilence) return true
        val readyAtMs = startedMs + timing.lapseMs
        if (nowMs < readyAtMs) return false
        val newest = known.newestCell
        if (nowMs >= startedMs + timing.takeoverMs && everyOtherAnswered(newest, nowMs)) return true
        return (known.unsettled() + newest).all { list ->
            peers.count(list, self.id) { it.askedAtMs >= readyAtMs && !it.recovering && known.knowsAll(it) } >= list.vouchQuorum
        }
    }

    private fun everyOtherAnswered(
        newest: CellList,
        nowMs: Long,
    ): Boolean = newest.members.all { it.id == self.id || peers.matches(it.id) { view -> isRecent(view, nowMs) && known.knowsAll(view) } }

    /** A list can give a right only once a confirming quorum of each older list knows of it, so that none skips it unnoticed. */
    private fun anchor(nowMs: Long) {
        val newest = known.newestCell
        if (anchored == newest.revision) return
        val isAnchored =
            known.unsettled().all { older ->
                confirmations(older, nowMs) { it.newest == newest.revision.value } >= older.confirmQuorum
            }
        if (isAnchored || !safeguards.anchorLists) anchored = newest.revision
    }

    private fun settle(nowMs: Long) {
        val newest = known.newestCell
        for (older in known.unsettled()) {
            if (known.confirmedAtMs(older.revision) == null && isConfirmed(older, newest, nowMs)) known.confirm(older.revision, nowMs)
        }
        known.settleConfirmed(nowMs - if (safeguards.takeoverWait) timing.lapseMs else 0)
        if (settledSinceMs == null && known.unsettled().isEmpty()) settledSinceMs = nowMs
    }

    private fun isConfirmed(
        older: CellList,
        newest: CellList,
        nowMs: Long,
    ): Boolean {
        val adoptedNewer: (PeerView) -> Boolean = { it.newest > older.revision.value }
        if (confirmations(older, nowMs, adoptedNewer) >= older.confirmQuorum) return true
        val supersededSinceMs = known.supersededSinceMs(older.revision) ?: return false
        return nowMs - supersededSinceMs >= timing.takeoverMs &&
            older.members.all {
                it.id == self.id || it.id !in newest || peers.matches(it.id) { view -> isRecent(view, nowMs) && adoptedNewer(view) }
            }
    }

    private fun confirmations(
        list: CellList,
        nowMs: Long,
        condition: (PeerView) -> Boolean,
    ): Int {
        val own = if (self.id in list) 1 else 0
        return own + peers.count(list, self.id) { !it.recovering && isRecent(it, nowMs) && known.knowsAll(it) && condition(it) }
    }

    /** Answers count only while they are younger than the silence of a restarted process, so that it cannot have forgotten them. */
    private fun isRecent(
        view: PeerView,
        nowMs: Long,
    ): Boolean = view.askedAtMs > nowMs - timing.rightMs

    private fun renew(
        nowMs: Long,
        effects: MutableList<Effect>,
    ) {
        val newest = known.newestCell
        if (self.id !in newest || anchored != newest.revision) return
        val othersNeeded = newest.vouchQuorum - 1
        val vouchedAtMs =
            if (othersNeeded == 0) {
                nowMs
            } else {
                peers.kthNewest(
                    newest,
                    self.id,
                    othersNeeded,
                ) { it.newest == newest.revision.value && !it.recovering && known.knowsAll(it) }
            }
        if (vouchedAtMs != null && right.renew(nowMs, vouchedAtMs + timing.rightMs)) {
            effects += Effect.Emit(Event.StateChanged("right", "held", "list ${newest.revision}"))
        }
    }

    private fun ask(
        nowMs: Long,
        effects: MutableList<Effect>,
        force: Boolean,
    ) {
        if (known.newest == null) return
        for (id in targets(nowMs)) {
            if (!force && !peers.mayAsk(id, nowMs, timing.retryMs)) continue
            peers.noteAsked(id, nowMs)
            effects += Effect.Send(id, AskList(nowMs, known.newestRevision.value, known.settled.value))
        }
    }

    /** All members while something is open; otherwise just enough of the next ones in a ring, so that questions spread evenly. */
    private fun targets(nowMs: Long): List<InstanceId> {
        val newest = known.newestCell
        val remainingMs = right.untilMs - nowMs
        val isOpen = recovering || anchored != newest.revision || known.unsettled().isNotEmpty()
        val everyone = (known.unsettled() + newest).flatMapTo(LinkedHashSet()) { list -> list.members.map { it.id } } - self.id
        return when {
            isOpen || remainingMs < timing.rightMs / 2 -> everyone.toList()
            remainingMs > timing.rightMs - timing.renewAfterMs -> emptyList()
            else -> ringAfterSelf(newest).take(newest.vouchQuorum - 1 + SPARE_VOUCHERS)
        }
    }

    private fun ringAfterSelf(list: CellList): List<InstanceId> {
        val ids = list.members.map { it.id }
        val at = ids.indexOf(self.id)
        return ids.drop(at + 1) + ids.take(at.coerceAtLeast(0))
    }

    private fun publish() =
        Standing(
            self = self,
            list = known.newest,
            cell = known.newestCell,
            unsettled = known.unsettled(),
            settled = known.settled,
            rightUntilMs = right.untilMs,
            acquireUntilMs = right.acquireUntilMs,
            formerUntilMs = right.formerUntilMs,
            rightEpoch = right.epoch,
            settledSinceMs = settledSinceMs,
            recovering = recovering,
        )

    private companion object {
        const val SPARE_VOUCHERS = 1
        const val MAX_LISTS_PER_REPLY = 8
    }
}
