package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.readers.ReaderRole
import io.monsoonpath.coordination.readers.SourceReaders
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import kotlinx.serialization.Serializable

/**
 * The changes of a topic that an instance has just read.
 *
 * @property sinceRevision the revision up to which the receiver must have the topic completely; [delta] holds the changes after it
 */
@Serializable
data class DocumentUpdate(
    val delta: DocumentDelta,
    val sinceRevision: Long,
)

/**
 * What an instance knows of its source of documents.
 *
 * @property isCurrent whether the source responds to all calls in time
 * @property silentMs the time since the last response, in milliseconds
 * @property failures the largest number of calls in a row for one topic that got no response
 * @property removalDelayMs how long documents that are missing may still come back, in milliseconds
 * @property era the era of the source, see [DocumentReplica.era]
 */
@Serializable
data class SourceContact(
    val isCurrent: Boolean,
    val silentMs: Long,
    val failures: Int = 0,
    val removalDelayMs: Long = 0,
    val era: Long = 0,
)

/** The revisions of a topic on an instance, as [DocumentReplica] defines them. */
@Serializable
data class TopicRevisions(
    val topic: String,
    val newestChange: Long,
    val completeRevision: Long,
)

/** A reader's contact with the source, and how far it has read the topics. */
@Serializable
data class SourceHeartbeat(
    val contact: SourceContact,
    val topics: List<TopicRevisions>,
)

/** The peers with which an instance exchanges documents. */
interface DocumentPeers {
    /** The live members, including this instance. */
    val liveMembers: List<MemberDigest>

    /** Sends [update] to the instance at [host]. */
    fun send(
        host: String,
        update: DocumentUpdate,
    )

    /** Sends [heartbeat] to the instance at [host]. */
    fun send(
        host: String,
        heartbeat: SourceHeartbeat,
    )

    /** Requests from [host] the documents of [topic] that changed after [sinceRevision]. */
    fun requestDocuments(
        host: String,
        topic: String,
        sinceRevision: Long,
    )
}

/** The state of a [DocumentForwarding], for metrics. */
data class ForwardingState(
    val role: ReaderRole,
    val freshReaders: Int,
    val roleChanges: Int,
    val sentUpdates: Int,
    val receivedUpdates: Int,
)

/**
 * Lets a few readers in each failure domain read the source of documents for all its instances, see [SourceReaders].
 *
 * Readers forward changes at once, and a heartbeat every 500 ms while the source responds to them. An instance that does not read requests
 * the documents of a reader that is ahead, which covers a lost message. Must be used on the event loop only.
 */
class DocumentForwarding(
    private val replica: DocumentReplica,
    private val peers: DocumentPeers,
    private val readers: SourceReaders,
    private val clock: ClockMs,
    private val log: DecisionLog,
) {
    /** The newest change of a topic in the local copy, and when a round first found it there. */
    private class Newest(
        val revision: Long,
        val sinceMs: Long,
    )

    private val newest = HashMap<String, Newest>()
    private var nextHeartbeatAtMs = 0L
    private var lastSentContact: SourceContact? = null
    private var roleChanges = 0
    private var sentUpdates = 0
    private var receivedUpdates = 0

    /** The role of this instance and what it has forwarded. */
    val state: ForwardingState
        get() = ForwardingState(readers.role, readers.freshReaders(clock.nowMs()), roleChanges, sentUpdates, receivedUpdates)

    init {
        replica.onUpdate = ::forward
    }

    /** Decides the role of this instance, and sends a heartbeat if one is due. Called every [ROUND_INTERVAL_MS]. */
    fun runRound() {
        val nowMs = clock.nowMs()
        for (topic in replica.topics) {
            val revision = replica.newestChangeOf(topic)
            if (newest[topic]?.revision != revision) newest[topic] = Newest(revision, nowMs)
        }
        updateRole(nowMs)
        sendHeartbeat(nowMs)
    }

    /** Discards the heartbeats, for use after a pause of the process. */
    fun resumeAfterPause() = readers.forgetAll(clock.nowMs())

    private fun updateRole(nowMs: Long) {
        val previous = readers.role
        val role = readers.decide(peers.liveMembers, nowMs)
        if (role != previous) {
            roleChanges++
            log.line(
                "store.role",
                "role" to role,
                "previous" to previous,
                "freshReaders" to readers.freshReaders(nowMs),
                "members" to peers.liveMembers.size,
                "revisions" to replica.topics.map(replica::completeRevisionOf),
            )
        }
        if (role.isReading == replica.isReading) return
        if (role.isReading) replica.startReading() else replica.stopReading()
    }

    /** Sends a heartbeat if one is due, or at once if the source has begun or ceased to respond. */
    private fun sendHeartbeat(nowMs: Long) {
        if (!readers.isForwarding(nowMs)) return
        val contact = replica.contact
        // A first reader also reports that calls fail, so that its successors know of an outage. This does not count as a heartbeat.
        if (!contact.isCurrent && (readers.role != ReaderRole.READER || contact.failures < MIN_REPORTED_FAILURES)) return
        if (nowMs < nextHeartbeatAtMs && contact.isCurrent == lastSentContact?.isCurrent) return
        nextHeartbeatAtMs = nowMs + HEARTBEAT_INTERVAL_MS
        lastSentContact = contact
        val topics = replica.topics.map { TopicRevisions(it, replica.newestChangeOf(it), replica.completeRevisionOf(it)) }
        readers.receivers(peers.liveMembers).forEach { peers.send(it, SourceHeartbeat(contact, topics)) }
    }

    private fun forward(
        topic: String,
        sinceRevision: Long,
    ) {
        if (!replica.isReading || !readers.isForwarding(clock.nowMs())) return
        val update = DocumentUpdate(replica.deltaSince(topic, sinceRevision), sinceRevision)
        readers.receivers(peers.liveMembers).forEach {
            sentUpdates++
            peers.send(it, update)
        }
    }

    /** Merges an [update] from the reader at [host], or requests what lies between it and the local copy. */
    fun receive(
        host: String,
        update: DocumentUpdate,
    ) {
        val topic = update.delta.topic
        // An instance that reads learns of the change from the source, and merging would interrupt its waiting call.
        if (topic !in replica.topics || replica.isReading) return
        if (!update.delta.isNewerThan(replica.era, replica.newestChangeOf(topic), replica.completeRevisionOf(topic))) return
        // Of an era that is new here, nothing is known yet.
        val completeRevision = if (update.delta.era > replica.era) -1 else replica.completeRevisionOf(topic)
        if (update.sinceRevision > completeRevision) {
            peers.requestDocuments(host, topic, replica.completeRevisionOf(topic))
            return
        }
        receivedUpdates++
        replica.merge(update.delta)
    }

    /** Records a [heartbeat] of the reader at [host], and requests the topics in which it is ahead. */
    fun receive(
        host: String,
        heartbeat: SourceHeartbeat,
    ) {
        // What a reader knows of an earlier era is out of date, however recently the source responded to it.
        if (heartbeat.contact.era < replica.era) return
        replica.follow(heartbeat.contact)
        if (!heartbeat.contact.isCurrent) return
        val nowMs = clock.nowMs()
        val isOfNewEra = heartbeat.contact.era > replica.era
        if (isOfNewEra || heartbeat.topics.none { isBehind(it, nowMs) }) readers.recordHeartbeat(host, nowMs)
        if (replica.isReading) return
        for (revisions in heartbeat.topics) {
            val topic = revisions.topic
            if (topic !in replica.topics) continue
            val completeRevision = replica.completeRevisionOf(topic)
            val knownRevision = maxOf(completeRevision, replica.newestChangeOf(topic))
            val isAhead = isOfNewEra || revisions.newestChange > knownRevision || revisions.completeRevision > completeRevision
            if (isAhead) peers.requestDocuments(host, topic, completeRevision)
        }
    }

    /** Returns whether a reader at [revisions] lacks a change that this instance has had for longer than the source takes to report it. */
    private fun isBehind(
        revisions: TopicRevisions,
        nowMs: Long,
    ): Boolean {
        val known = newest[revisions.topic] ?: return false
        return nowMs - known.sinceMs > MAX_LAG_MS && maxOf(revisions.newestChange, revisions.completeRevision) < known.revision
    }

    companion object {
        /** The interval between two decisions, in milliseconds. */
        const val ROUND_INTERVAL_MS = 100L

        /** The interval between two heartbeats. */
        private const val HEARTBEAT_INTERVAL_MS = 500L

        /** A connection that was lost costs one call. */
        private const val MIN_REPORTED_FAILURES = 2

        /** Readers pause for 700 ms after a change of the servers, so that a reader may see the next one that much later than another. */
        private const val MAX_LAG_MS = 1_000L
    }
}
