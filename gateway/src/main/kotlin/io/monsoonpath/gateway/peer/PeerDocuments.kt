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
data class SharedDocuments(
    val topic: String,
    val revision: Long,
    val newestChange: Long,
    val keys: List<String>,
    val changed: List<SharedDocument>,
)

/** The documents that an instance follows at their source, by topic. */
interface DocumentFollower {
    /** The topics that are followed. */
    val topics: List<String>

    /** Returns up to which revision [topic] is known; -1 before it was read. */
    fun revisionOf(topic: String): Long

    /** Returns the newest revision of a document or a removal of [topic] that is known; -1 before any. */
    fun newestChangeOf(topic: String): Long

    /** Returns how long an answer of the source about [topic] has been due, in milliseconds; 0 while none is. */
    fun overdueMs(topic: String): Long

    /** Returns what is known of [topic], with the documents that changed after [revision]. */
    fun documentsAfter(
        topic: String,
        revision: Long,
    ): SharedDocuments

    /** Takes in what a peer knows, where it is newer. */
    fun offer(documents: SharedDocuments)
}

/**
 * Peers as a second source: an instance that its source does not answer, or that has missed what others know, asks them.
 *
 * Load pattern: the source turns some instances away while keys are withdrawn and backend servers leave, is down while instances start
 * again, or has lost the connection over which it would tell. Revisions only grow, so what a peer knows can't take back what is known
 * here. Used by the event loop alone.
 */
internal class PeerDocuments(
    private val ownHost: String,
    private val membership: Membership,
    private val mesh: PeerMesh,
    private val follower: DocumentFollower,
    private val later: Scheduler,
    private val log: DecisionLog,
    private val random: Random,
) : PeerListener {
    /** The topics of which a peer knew more than this instance in the last round; news in this round may still be on their way here. */
    private var behind: Set<String> = emptySet()

    init {
        mesh.listen(this)
    }

    /** Begins to compare with the peers, and to ask them where the source is silent or this instance is behind. */
    fun start() = later.scheduleRepeatedly(ASK_EVERY_MS, ::round)

    private fun round() {
        membership.announceDocuments(follower.topics.map(follower::newestChangeOf))
        val ahead = follower.topics.mapIndexedNotNull { place, topic -> hostAhead(place, topic)?.let { topic to it } }.toMap()
        for (topic in follower.topics) {
            val host = ahead[topic]?.takeIf { topic in behind } ?: if (isSilent(topic)) randomPeer() else null
            if (host != null) mesh.to(host).send(PeerMessage.AskDocuments(topic, follower.newestChangeOf(topic)))
        }
        behind = ahead.keys
    }

    private fun isSilent(topic: String): Boolean = follower.overdueMs(topic) > if (follower.revisionOf(topic) < 0) UNREAD_MS else OVERDUE_MS

    /** Returns the live peer that knows the newest change of [topic], the topic in [place] of all, or null if this instance knows it. */
    private fun hostAhead(
        place: Int,
        topic: String,
    ): String? =
        membership.live
            .maxByOrNull { it.documentRevisions.getOrElse(place) { -1 } }
            ?.takeIf { it.documentRevisions.getOrElse(place) { -1 } > follower.newestChangeOf(topic) }
            ?.host

    private fun randomPeer(): String? =
        membership.live
            .map { it.host }
            .filter { it != ownHost }
            .randomOrNull(random)

    override fun received(
        from: PeerChannel,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.AskDocuments -> answer(from, message)
            is PeerMessage.Documents -> take(from, message.documents)
            else -> Unit
        }
    }

    private fun answer(
        from: PeerChannel,
        message: PeerMessage.AskDocuments,
    ) {
        if (message.topic !in follower.topics || follower.newestChangeOf(message.topic) <= message.revision) return
        from.send(PeerMessage.Documents(follower.documentsAfter(message.topic, message.revision)))
    }

    private fun take(
        from: PeerChannel,
        documents: SharedDocuments,
    ) {
        if (documents.topic !in follower.topics) return
        val before = follower.newestChangeOf(documents.topic)
        if (documents.newestChange <= before) return
        log.line(
            "documents.from-peer",
            "peer" to from.host,
            "topic" to documents.topic,
            "before" to before,
            "revision" to documents.newestChange,
            "changed" to documents.changed.size,
            "overdueMs" to follower.overdueMs(documents.topic),
        )
        follower.offer(documents)
    }

    override fun lost(peer: PeerChannel) = Unit

    private companion object {
        const val ASK_EVERY_MS = 500L

        /** A source that is well answers within a fraction of this. */
        const val OVERDUE_MS = 600L

        /** An instance that knows nothing yet serves nobody; a source that is well has answered by then. */
        const val UNREAD_MS = 800L
    }
}
