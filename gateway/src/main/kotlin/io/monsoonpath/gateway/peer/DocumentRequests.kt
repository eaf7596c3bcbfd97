package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.log.DecisionLog
import kotlin.random.Random

/**
 * Requests documents from a peer if the source does not respond to this instance, or if the peer has changes that this instance missed.
 *
 * This covers a source that rejects some instances while keys are withdrawn and backend servers leave, a source that is down while
 * instances restart, and a source that has lost the connection on which it would report a change. Eras, and revisions within an era, only
 * increase, so the documents of a peer cannot revert newer local ones, and what a peer has shows nothing up to the revision of a complete
 * local copy of the same era.
 */
class DocumentRequests(
    private val localHost: String,
    private val peers: DocumentPeers,
    private val replica: DocumentReplica,
    private val log: DecisionLog,
    private val random: Random,
) {
    /** The topics for which a peer was ahead in the previous round. A newly detected change may still arrive from the source. */
    private var laggingTopics: Set<String> = emptySet()

    /** Requests the topics that lag behind a peer, or whose source does not respond. Called every [ROUND_INTERVAL_MS]. */
    fun runRound() {
        val hostsAhead = replica.topics.mapIndexedNotNull { index, topic -> hostAhead(index, topic)?.let { topic to it } }.toMap()
        for (topic in replica.topics) {
            val host = hostsAhead[topic]?.takeIf { topic in laggingTopics } ?: if (isSourceOverdue(topic)) randomPeer() else null
            if (host != null) peers.requestDocuments(host, topic, replica.completeRevisionOf(topic))
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
        peers.liveMembers
            .maxWithOrNull(compareBy({ it.eraOf(replica) }, { it.documentRevisions.getOrElse(index) { -1 } }))
            ?.takeIf { isAhead(it.eraOf(replica), it.documentRevisions.getOrElse(index) { -1 }, topic) }
            ?.host

    private fun isAhead(
        era: Long,
        revision: Long,
        topic: String,
    ): Boolean = if (era == replica.era) revision > knownRevisionOf(topic) else era > replica.era

    /** Returns the newest revision up to which this copy of [topic] shows changes or their absence. */
    private fun knownRevisionOf(topic: String): Long = maxOf(replica.newestChangeOf(topic), replica.completeRevisionOf(topic))

    private fun randomPeer(): String? =
        peers.liveMembers
            .map { it.host }
            .filter { it != localHost }
            .randomOrNull(random)

    /**
     * Returns the documents of [topic] that changed after [revision] of [era], all documents if the era is over, or null if there are none.
     *
     * @param era the era of the peer, or null if it knows no eras
     */
    fun replyTo(
        topic: String,
        revision: Long,
        era: Long?,
    ): DocumentDelta? {
        if (topic !in replica.topics || (era ?: 0) > replica.era) return null
        val since = if (era == null || era == replica.era) revision else -1
        return if (knownRevisionOf(topic) <= since) null else replica.deltaSince(topic, since)
    }

    /** Merges the documents that the peer at [host] sent on request. */
    fun receive(
        host: String,
        delta: DocumentDelta,
    ) {
        if (delta.topic !in replica.topics) return
        if (!delta.isNewerThan(replica.era, replica.newestChangeOf(delta.topic), replica.completeRevisionOf(delta.topic))) return
        log.line(
            "documents.from-peer",
            "peer" to host,
            "topic" to delta.topic,
            "before" to knownRevisionOf(delta.topic),
            "revision" to maxOf(delta.newestChange, delta.completeRevision),
            "era" to delta.era,
            "changed" to delta.changed.size,
            "overdueMs" to replica.overdueMs(delta.topic),
        )
        replica.merge(delta)
    }

    companion object {
        /** The interval between two comparisons with the peers, in milliseconds. */
        const val ROUND_INTERVAL_MS = 500L

        /** A healthy source responds within a fraction of this. */
        private const val OVERDUE_LIMIT_MS = 600L

        /** The limit before the first read, when the instance cannot serve requests yet. A healthy source has responded by then. */
        private const val INITIAL_OVERDUE_LIMIT_MS = 800L
    }
}
