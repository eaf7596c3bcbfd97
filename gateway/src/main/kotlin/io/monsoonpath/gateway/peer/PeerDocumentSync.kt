package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.log.DecisionLog
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** A document as its source gave it; [value] is text that only the source's adapter reads. */
@Serializable
data class SharedDocument(
    val key: String,
    val revision: Long,
    val value: String?,
)

/**
 * What an instance knows of one topic.
 *
 * @property revision up to which revision of the source it knows the topic
 * @property newestChange the newest revision of a document or a removal that it knows
 * @property keys the keys of all documents that there are
 * @property changed the documents that the receiver doesn't have
 */
@Serializable
data class DocumentDelta(
    val topic: String,
    val revision: Long,
    val newestChange: Long,
    val keys: List<String>,
    val changed: List<SharedDocument>,
)

/** The documents that an instance follows at their source, by topic. */
interface DocumentReplica {
    /** The topics that are followed. */
    val topics: List<String>

    /** Returns up to which revision [topic] is known; -1 before it was read. */
    fun revisionOf(topic: String): Long

    /** Returns the newest revision of a document or a removal of [topic] that is known; -1 before any. */
    fun newestChangeOf(topic: String): Long

    /** Returns how long an answer of the source about [topic] has been due, in milliseconds; 0 while none is. */
    fun overdueMs(topic: String): Long

    /** Returns what is known of [topic], with the documents that changed after [revision]. */
    fun deltaSince(
        topic: String,
        revision: Long,
    ): DocumentDelta

    /** Takes in what a peer knows, where it is newer. */
    fun merge(delta: DocumentDelta)
}

/**
 * Peers as a second source: an instance that its source does not answer, or that has missed what others know, asks them.
 *
 * Load pattern: the source turns some instances away while keys are withdrawn and backend servers leave, is down while instances start
 * again, or has lost the connection over which it would tell. Revisions only grow, so what a peer knows can't take back what is known
 * here. Used by the event loop alone.
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
    /** The topics of which a peer knew more than this instance in the last round; news in this round may still be on their way here. */
    private var laggingTopics: Set<String> = emptySet()

    init {
        transport.addListener(this)
    }

    /** Begins to compare with the peers, and to ask them where the source is silent or this instance is laggingTopics. */
    fun start() = scheduler.scheduleRepeatedly(ROUND_INTERVAL_MS, ::runRound)

    private fun runRound() {
        membership.announceDocuments(replica.topics.map(replica::newestChangeOf))
        val hostsAhead = replica.topics.mapIndexedNotNull { index, topic -> hostAhead(index, topic)?.let { topic to it } }.toMap()
        for (topic in replica.topics) {
            val host = hostsAhead[topic]?.takeIf { topic in laggingTopics } ?: if (isSourceOverdue(topic)) randomPeer() else null
            if (host != null) transport.connectionTo(host).send(PeerMessage.RequestDocuments(topic, replica.newestChangeOf(topic)))
        }
        laggingTopics = hostsAhead.keys
    }

    private fun isSourceOverdue(topic: String): Boolean =
        replica.overdueMs(topic) > if (replica.revisionOf(topic) < 0) INITIAL_OVERDUE_LIMIT_MS else OVERDUE_LIMIT_MS

    /** Returns the live peer that knows the newest change of [topic], whose index is [index], or null if this instance knows it. */
    private fun hostAhead(
        index: Int,
        topic: String,
    ): String? =
        membership.liveMembers
            .maxByOrNull { it.documentRevisions.getOrElse(index) { -1 } }
            ?.takeIf { it.documentRevisions.getOrElse(index) { -1 } > replica.newestChangeOf(topic) }
            ?.host

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
        if (message.topic !in replica.topics || replica.newestChangeOf(message.topic) <= message.revision) return
        from.send(PeerMessage.SendDocuments(replica.deltaSince(message.topic, message.revision)))
    }

    private fun applyDelta(
        from: PeerConnection,
        delta: DocumentDelta,
    ) {
        if (delta.topic !in replica.topics) return
        val knownRevision = replica.newestChangeOf(delta.topic)
        if (delta.newestChange <= knownRevision) return
        log.line(
            "documents.from-peer",
            "peer" to from.host,
            "topic" to delta.topic,
            "before" to knownRevision,
            "revision" to delta.newestChange,
            "changed" to delta.changed.size,
            "overdueMs" to replica.overdueMs(delta.topic),
        )
        replica.merge(delta)
    }

    override fun onDisconnect(connection: PeerConnection) = Unit

    private companion object {
        const val ROUND_INTERVAL_MS = 500L

        /** A source that is well answers within a fraction of this. */
        const val OVERDUE_LIMIT_MS = 600L

        /** An instance that knows nothing yet serves nobody; a source that is well has answered by then. */
        const val INITIAL_OVERDUE_LIMIT_MS = 800L
    }
}
