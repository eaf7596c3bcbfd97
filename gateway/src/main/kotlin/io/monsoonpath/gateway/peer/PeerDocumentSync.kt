package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.log.DecisionLog
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
 */
@Serializable
data class DocumentDelta(
    val topic: String,
    val revision: Long,
    val newestChange: Long,
    val keys: List<String>,
    val changed: List<SharedDocument>,
    val completeRevision: Long = newestChange,
) {
    /** Returns whether this may show more than a copy of the topic with the given revisions. */
    fun isNewerThan(
        newestChange: Long,
        completeRevision: Long,
    ): Boolean = this.newestChange > maxOf(newestChange, completeRevision) || this.completeRevision > completeRevision
}

/** The local copy of the documents that an instance watches at their source, by topic. */
interface DocumentReplica {
    /** The watched topics. */
    val topics: List<String>

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
}

/**
 * Uses the peers as a second source of documents. An instance requests documents from a peer if its source does not respond, or if the
 * peer has changes that this instance missed. Must be used on the event loop only.
 *
 * This covers a source that rejects some instances while keys are withdrawn and backend servers leave, a source that is down while
 * instances restart, and a source that has lost the connection on which it would report a change. Revisions only increase, so the
 * documents of a peer cannot revert newer local ones, and what a peer has shows nothing up to the revision of a complete local copy.
 */
internal class PeerDocumentSync(
    private val localHost: String,
    private val membership: Membership,
    private val transport: PeerTransport,
    private val replica: DocumentReplica,
    private val scheduler: Scheduler,
    private val log: DecisionLog,
    private val random: Random,
) : PeerListener {
    /** The topics for which a peer was ahead in the previous round. A newly detected change may still arrive from the source. */
    private var laggingTopics: Set<String> = emptySet()

    init {
        transport.addListener(this)
    }

    /** Starts to compare revisions with the peers, and to request topics that lag behind a peer or whose source does not respond. */
    fun start() = scheduler.scheduleRepeatedly(ROUND_INTERVAL_MS, ::runRound)

    private fun runRound() {
        membership.announceDocuments(replica.topics.map(replica::newestChangeOf))
        val hostsAhead = replica.topics.mapIndexedNotNull { index, topic -> hostAhead(index, topic)?.let { topic to it } }.toMap()
        for (topic in replica.topics) {
            val host = hostsAhead[topic]?.takeIf { topic in laggingTopics } ?: if (isSourceOverdue(topic)) randomPeer() else null
            if (host != null) transport.connectionTo(host).send(PeerMessage.RequestDocuments(topic, replica.completeRevisionOf(topic)))
        }
        laggingTopics = hostsAhead.keys
    }

    private fun isSourceOverdue(topic: String): Boolean =
        replica.overdueMs(topic) > if (replica.revisionOf(topic) < 0) INITIAL_OVERDUE_LIMIT_MS else OVERDUE_LIMIT_MS

    /** Returns the live peer with the newest change of [topic], the topic at [index], or null if no peer is ahead of this instance. */
    private fun hostAhead(
        index: Int,
        topic: String,
    ): String? =
        membership.liveMembers
            .maxByOrNull { it.documentRevisions.getOrElse(index) { -1 } }
            ?.takeIf { it.documentRevisions.getOrElse(index) { -1 } > knownRevisionOf(topic) }
            ?.host

    /** Returns the newest revision up to which this copy of [topic] shows changes or their absence. */
    private fun knownRevisionOf(topic: String): Long = maxOf(replica.newestChangeOf(topic), replica.completeRevisionOf(topic))

    private fun randomPeer(): String? =
        membership.liveMembers
            .map { it.host }
            .filter { it != localHost }
            .randomOrNull(random)

    override fun onMessage(
        from: PeerConnection,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.RequestDocuments -> reply(from, message)
            is PeerMessage.SendDocuments -> applyDelta(from, message.documents)
            else -> Unit
        }
    }

    private fun reply(
        from: PeerConnection,
        message: PeerMessage.RequestDocuments,
    ) {
        if (message.topic !in replica.topics || knownRevisionOf(message.topic) <= message.revision) return
        from.send(PeerMessage.SendDocuments(replica.deltaSince(message.topic, message.revision)))
    }

    private fun applyDelta(
        from: PeerConnection,
        delta: DocumentDelta,
    ) {
        if (delta.topic !in replica.topics) return
        if (!delta.isNewerThan(replica.newestChangeOf(delta.topic), replica.completeRevisionOf(delta.topic))) return
        log.line(
            "documents.from-peer",
            "peer" to from.host,
            "topic" to delta.topic,
            "before" to knownRevisionOf(delta.topic),
            "revision" to maxOf(delta.newestChange, delta.completeRevision),
            "changed" to delta.changed.size,
            "overdueMs" to replica.overdueMs(delta.topic),
        )
        replica.merge(delta)
    }

    override fun onDisconnect(connection: PeerConnection) = Unit

    private companion object {
        const val ROUND_INTERVAL_MS = 500L

        /** A healthy source responds within a fraction of this. */
        const val OVERDUE_LIMIT_MS = 600L

        /** The limit before the first read, when the instance cannot serve requests yet. A healthy source has responded by then. */
        const val INITIAL_OVERDUE_LIMIT_MS = 800L
    }
}
