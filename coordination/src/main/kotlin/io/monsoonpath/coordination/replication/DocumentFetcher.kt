package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.ChunksReply
import io.monsoonpath.coordination.message.ChunksRequest
import io.monsoonpath.coordination.message.DocumentDelta
import io.monsoonpath.coordination.message.DocumentRequest
import io.monsoonpath.model.InstanceId

/** Fetches newer documents of one kind from peers. At most one fetch is active at a time, from one peer. */
internal class DocumentFetcher(
    private val kind: DocumentKind,
    private val replica: DocumentReplica,
    private val timeoutMs: Long,
) {
    private class Fetch(
        val from: InstanceId,
        var lastProgressMs: Long,
    ) {
        var revision = 0L
        var hashes = emptyList<ChunkHash>()
        val chunkByHash = HashMap<ChunkHash, Chunk>()
    }

    private val revisionByPeer = HashMap<InstanceId, Long>()
    private var activeFetch: Fetch? = null
    private var rejectedRevision = 0L

    /** The highest revision that a peer has reported. */
    val newestAtPeers: Long get() = revisionByPeer.values.maxOrNull() ?: 0L

    /** Records that [from] holds [revision]. Returns the request that starts a fetch, if the revision is needed and no fetch is active. */
    fun recordPeerRevision(
        nowMs: Long,
        from: InstanceId,
        revision: Long,
    ): ReplicationEffect? {
        revisionByPeer[from] = revision
        val isWanted = revision > replica.revision && revision > rejectedRevision
        val isIdle = activeFetch.let { it == null || nowMs - it.lastProgressMs >= timeoutMs }
        return if (isWanted && isIdle) start(nowMs, from) else null
    }

    /** Restarts a stalled fetch from another peer. Returns its request, or null if none is stalled or no other peer has the revision. */
    fun restartIfStalled(nowMs: Long): ReplicationEffect? {
        val stalled = activeFetch?.takeIf { nowMs - it.lastProgressMs >= timeoutMs } ?: return null
        revisionByPeer -= stalled.from
        activeFetch = null
        val next =
            revisionByPeer.entries.filter { it.value > maxOf(replica.revision, rejectedRevision) }.minByOrNull { it.key } ?: return null
        return start(nowMs, next.key)
    }

    /** Processes a delta, after which [takeCompletedOrNull] may return the document. Returns the request for missing chunks, if any. */
    fun acceptDelta(
        nowMs: Long,
        from: InstanceId,
        delta: DocumentDelta,
    ): ReplicationEffect? {
        val fetch = activeFetch?.takeIf { it.from == from } ?: return null
        if (delta.revision <= maxOf(replica.revision, rejectedRevision)) return null
        fetch.hashes = replica.hashesOrNull(delta.baseRevision)?.let { applyDelta(delta, it) } ?: return null
        fetch.revision = delta.revision
        fetch.hashes.forEach { hash -> replica.chunkOrNull(hash)?.let { fetch.chunkByHash[hash] = it } }
        delta.chunks.map { chunkOf(it.bytes) }.forEach { fetch.chunkByHash[it.hash] = it }
        return requestMissingChunks(nowMs, fetch)
    }

    /** Processes chunks that were requested. Returns the request for the chunks that are still missing, if any. */
    fun acceptChunks(
        nowMs: Long,
        from: InstanceId,
        reply: ChunksReply,
    ): ReplicationEffect? {
        val fetch = activeFetch?.takeIf { it.from == from && it.revision > 0 && reply.chunks.isNotEmpty() } ?: return null
        reply.chunks.map { chunkOf(it.bytes) }.forEach { fetch.chunkByHash[it.hash] = it }
        return requestMissingChunks(nowMs, fetch)
    }

    /** Returns the fetched document and ends the fetch, or returns null while chunks are missing. */
    fun takeCompletedOrNull(): FetchedDocument? {
        val fetch = activeFetch?.takeIf { it.revision > 0 } ?: return null
        val chunks = fetch.hashes.map { fetch.chunkByHash[it] ?: return null }
        activeFetch = null
        return FetchedDocument(fetch.revision, chunks, fetch.from)
    }

    /** Records that [revision] is invalid, so that revisions up to it are not fetched again. */
    fun reject(revision: Long) {
        rejectedRevision = maxOf(rejectedRevision, revision)
    }

    private fun start(
        nowMs: Long,
        from: InstanceId,
    ): ReplicationEffect {
        activeFetch = Fetch(from, nowMs)
        return ReplicationEffect.Send(from, DocumentRequest(kind.ordinal, replica.revision))
    }

    private fun requestMissingChunks(
        nowMs: Long,
        fetch: Fetch,
    ): ReplicationEffect? {
        fetch.lastProgressMs = nowMs
        val missing =
            fetch.hashes
                .asSequence()
                .filter { it !in fetch.chunkByHash }
                .distinct()
                .take(MAX_REQUESTED_CHUNKS)
                .toList()
        return if (missing.isEmpty()) null else ReplicationEffect.Send(fetch.from, ChunksRequest(kind.ordinal, packHashes(missing)))
    }

    private companion object {
        const val MAX_REQUESTED_CHUNKS = 256
    }
}

/** A document that was fetched completely from [from]. */
internal class FetchedDocument(
    val revision: Long,
    val chunks: List<Chunk>,
    val from: InstanceId,
)
