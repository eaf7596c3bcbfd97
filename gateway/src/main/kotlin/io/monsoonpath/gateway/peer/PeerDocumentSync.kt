package io.monsoonpath.gateway.peer

import io.monsoonpath.coordination.gossip.MemberDigest
import io.monsoonpath.coordination.readers.SourceReaders
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** A document as read from its source. Only the adapter of the source interprets [value], which is null if the source sent none. */
@Serializable
data class SharedDocument(
    val key: String,
    val revision: Long,
    val value: String?,
)

/**
 * The state of one topic on an instance, as the difference from an older revision.
 *
 * @property revision the revision of the source up to which the instance has read the topic
 * @property newestChange the newest revision of a document or a removal that the instance has
 * @property keys the keys of all existing documents; a document of the receiver up to [completeRevision] whose key is absent was removed
 * @property changed the documents that the receiver does not have in their newest revision
 * @property completeRevision the revision of the source up to which no document and no removal is missing
 * @property removalDelayMs how long documents that are missing at the sender may still come back, in milliseconds
 * @property era the era of the source in which all these revisions were given out, see [DocumentReplica.era]
 */
@Serializable
data class DocumentDelta(
    val topic: String,
    val revision: Long,
    val newestChange: Long,
    val keys: List<String>,
    val changed: List<SharedDocument>,
    val completeRevision: Long = newestChange,
    val removalDelayMs: Long = 0,
    val era: Long = 0,
) {
    /** Whether this holds all documents, so that it does not rest on what the receiver has. */
    val isComplete: Boolean get() = changed.size >= keys.size

    /** Returns whether this may show more than a copy of the topic with the given revisions of [era]. */
    fun isNewerThan(
        era: Long,
        newestChange: Long,
        completeRevision: Long,
    ): Boolean =
        when {
            this.era != era -> this.era > era
            else -> this.newestChange > maxOf(newestChange, completeRevision) || this.completeRevision > completeRevision
        }
}

/** The local copy of the documents that an instance watches at their source, by topic. */
interface DocumentReplica {
    /** The watched topics. */
    val topics: List<String>

    /**
     * The era of the source, which rises each time that the source has lost what it had accepted last; 0 if it is not known.
     *
     * A revision says nothing about an earlier or later era. All revisions of this copy are of this era.
     */
    val era: Long

    /** Returns the revision up to which [topic] has been read, or -1 before the first read. */
    fun revisionOf(topic: String): Long

    /** Returns the newest revision of a document or a removal of [topic] in this copy, or -1 if there is none. */
    fun newestChangeOf(topic: String): Long

    /** Returns the revision up to which no document and no removal of [topic] is missing in this copy, or -1 before the first read. */
    fun completeRevisionOf(topic: String): Long

    /** Returns how long a response of the source for [topic] has been overdue, in milliseconds, or 0 if none is overdue. */
    fun overdueMs(topic: String): Long

    /** Returns the state of [topic], with the documents that changed after [revision]. */
    fun deltaSince(
        topic: String,
        revision: Long,
    ): DocumentDelta

    /** Merges what [delta] from a peer shows after the revision up to which this copy is complete. */
    fun merge(delta: DocumentDelta)

    /** Whether this instance reads the source. */
    val isReading: Boolean

    /** The contact with the source. */
    val contact: SourceContact

    /** Called with a topic whose documents have changed, and the revision up to which it was complete before. */
    var onUpdate: (topic: String, sinceRevision: Long) -> Unit

    /** Reads all documents from the source and continues to read it. */
    fun startReading()

    /** Makes no more calls to the source. */
    fun stopReading()

    /** Adopts the [contact] of a reader with the source, while this instance does not read it. */
    fun follow(contact: SourceContact)
}

/** Returns what an instance announces of its documents: the newest change of each topic, then the era of the source. */
fun announcementOf(replica: DocumentReplica): List<Long> = replica.topics.map(replica::newestChangeOf) + replica.era

/** Whether this member announces the era of its source, as earlier versions of the program do not. */
internal fun MemberDigest.knowsEras(replica: DocumentReplica): Boolean = documentRevisions.size > replica.topics.size

/** The era that this member announces, or 0 if it announces none. */
internal fun MemberDigest.eraOf(replica: DocumentReplica): Long = documentRevisions.getOrElse(replica.topics.size) { 0 }

/**
 * Uses the peers as a second source of documents, see [DocumentRequests], or in large fleets as the first one, see [DocumentForwarding].
 * Must be used on the event loop only.
 */
internal class PeerDocumentSync(
    localHost: String,
    private val membership: Membership,
    private val transport: PeerTransport,
    private val replica: DocumentReplica,
    private val scheduler: Scheduler,
    private val log: DecisionLog,
    random: Random,
    readers: SourceReaders,
    clock: ClockMs,
) : PeerListener {
    private val peers = PeersOverTransport()
    private val requests = DocumentRequests(localHost, peers, replica, log, random)
    private val forwarding = DocumentForwarding(replica, peers, readers, clock, log)

    init {
        transport.addListener(this)
    }

    /** Starts to compare revisions with the peers, and to decide whether this instance reads the source. */
    fun start() {
        scheduler.scheduleRepeatedly(DocumentRequests.ROUND_INTERVAL_MS) {
            membership.announceDocuments(announcementOf(replica))
            requests.runRound()
        }
        scheduler.scheduleRepeatedly(DocumentForwarding.ROUND_INTERVAL_MS, forwarding::runRound)
    }

    /** The role of this instance and what it has forwarded, for metrics. */
    val forwardingState: ForwardingState get() = forwarding.state

    /** Discards the heartbeats of readers, for use after a pause of the process. */
    fun resumeAfterPause() = forwarding.resumeAfterPause()

    override fun onMessage(
        from: PeerConnection,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.RequestDocuments ->
                requests.replyTo(message.topic, message.revision, message.era.takeIf { knowsEras(from.host) })?.let {
                    send(from, it.topic, PeerMessage.SendDocuments(forHost(from.host, it)))
                }
            is PeerMessage.SendDocuments -> requests.receive(from.host, message.documents)
            is PeerMessage.ForwardDocuments -> forwarding.receive(from.host, message.update)
            is PeerMessage.ReportSource -> forwarding.receive(from.host, message.heartbeat)
            else -> Unit
        }
    }

    override fun onDisconnect(connection: PeerConnection) = Unit

    /** Sends [message] about [topic]. A receiver that does not get a topic of more than two megabytes reads it from the source. */
    private fun send(
        receiver: PeerConnection,
        topic: String,
        message: PeerMessage,
    ) {
        if (!receiver.send(message)) log.line("peer.message-too-long", "peer" to receiver.host, "topic" to topic)
    }

    /** Whether the program at [host] knows eras. An earlier one closes the connection over a message that states one. */
    private fun knowsEras(host: String): Boolean = membership.liveMembers.any { it.host == host && it.knowsEras(replica) }

    private fun forHost(
        host: String,
        delta: DocumentDelta,
    ): DocumentDelta = if (knowsEras(host)) delta else delta.copy(era = 0)

    private inner class PeersOverTransport : DocumentPeers {
        override val liveMembers get() = membership.liveMembers

        override fun send(
            host: String,
            update: DocumentUpdate,
        ) = send(
            transport.connectionTo(host),
            update.delta.topic,
            PeerMessage.ForwardDocuments(update.copy(delta = forHost(host, update.delta))),
        )

        override fun send(
            host: String,
            heartbeat: SourceHeartbeat,
        ) {
            val contact = heartbeat.contact
            val sent = if (knowsEras(host)) heartbeat else heartbeat.copy(contact = contact.copy(era = 0))
            transport.connectionTo(host).send(PeerMessage.ReportSource(sent))
        }

        override fun requestDocuments(
            host: String,
            topic: String,
            sinceRevision: Long,
        ) {
            val era = if (knowsEras(host)) replica.era else 0
            transport.connectionTo(host).send(PeerMessage.RequestDocuments(topic, sinceRevision, era))
        }
    }
}
