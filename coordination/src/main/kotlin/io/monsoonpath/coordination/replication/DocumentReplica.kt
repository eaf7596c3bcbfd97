package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.ChunkBytes
import io.monsoonpath.coordination.message.ChunksReply
import io.monsoonpath.coordination.message.DocumentDelta

/** The local copy of a published document as chunks, with the chunk hashes of its last revisions. */
internal class DocumentReplica(
    private val kind: DocumentKind,
) {
    private val history = LinkedHashMap<Long, List<ChunkHash>>()
    private var chunks = emptyList<Chunk>()
    private var chunkByHash = emptyMap<ChunkHash, Chunk>()

    /** The active revision, or 0 if there is none. */
    var revision = 0L
        private set

    /**
     * Replaces the active document.
     *
     * @throws IllegalArgumentException if [newRevision] is not higher than [revision]
     */
    fun adopt(
        newRevision: Long,
        newChunks: List<Chunk>,
    ) {
        require(newRevision > revision) { "newRevision must be above $revision, was $newRevision" }
        revision = newRevision
        chunks = newChunks
        chunkByHash = newChunks.associateBy { it.hash }
        history[newRevision] = newChunks.map { it.hash }
        while (history.size > HISTORY_REVISIONS) history.remove(history.keys.first())
    }

    /** Returns the chunk with [hash] in the active document, or null if there is none. */
    fun chunkOrNull(hash: ChunkHash): Chunk? = chunkByHash[hash]

    /** Returns the chunk hashes of [revision], or null if they are not retained. Revision 0 has no chunks. */
    fun hashesOrNull(revision: Long): List<ChunkHash>? = if (revision == 0L) emptyList() else history[revision]

    /** Returns the delta from [baseRevision], or the full document if that revision is not retained. */
    fun deltaFrom(baseRevision: Long): DocumentDelta {
        val baseHashes = hashesOrNull(baseRevision)
        return computeDelta(kind, revision, if (baseHashes == null) 0 else baseRevision, baseHashes.orEmpty(), chunks)
    }

    /** Returns as many of the chunks with [hashes] as fit into one reply. */
    fun chunksReply(hashes: List<ChunkHash>): ChunksReply {
        var bytes = 0
        val available =
            hashes.mapNotNull { chunkByHash[it] }.takeWhile { chunk ->
                (bytes + chunk.bytes.size <= MAX_REPLY_BYTES).also {
                    bytes +=
                        chunk.bytes.size
                }
            }
        return ChunksReply(kind.ordinal, available.map { ChunkBytes(it.bytes) })
    }

    private companion object {
        const val HISTORY_REVISIONS = 8
        const val MAX_REPLY_BYTES = 131_072
    }
}
