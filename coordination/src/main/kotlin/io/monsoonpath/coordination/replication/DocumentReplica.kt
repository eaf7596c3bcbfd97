package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.ChunkBytes
import io.monsoonpath.coordination.message.ChunksReply
import io.monsoonpath.coordination.message.DocumentDelta

/** One process's copy of a published document, in chunks, with the chunk hashes of its last revisions. */
internal class DocumentReplica(
    private val kind: DocumentKind,
) {
    private val history = LinkedHashMap<Long, List<ChunkHash>>()
    private var chunks = emptyList<Chunk>()
    private var chunkByHash = emptyMap<ChunkHash, Chunk>()

    /** The revision in force, 0 before the first. */
    var revision = 0L
        private set

    /** Puts [newChunks] in force as [newRevision], which must be higher than the one in force. */
    fun adopt(
        newRevision: Long,
        newChunks: List<Chunk>,
    ) {
        require(newRevision > revision) { "revision must be above $revision, was $newRevision" }
        revision = newRevision
        chunks = newChunks
        chunkByHash = newChunks.associateBy { it.hash }
        history[newRevision] = newChunks.map { it.hash }
        while (history.size > HISTORY_REVISIONS) history.remove(history.keys.first())
    }

    /** Returns the chunk with [hash] in the document in force, or null. */
    fun chunkOrNull(hash: ChunkHash): Chunk? = chunkByHash[hash]

    /** Returns the hashes of the chunks of [revision], or null if they are not kept; revision 0 has none. */
    fun hashesOrNull(revision: Long): List<ChunkHash>? = if (revision == 0L) emptyList() else history[revision]

    /** Returns the change from revision [baseRevision], or the whole document if that one is not kept. */
    fun deltaFrom(baseRevision: Long): DocumentDelta {
        val baseHashes = hashesOrNull(baseRevision)
        return computeDelta(kind, revision, if (baseHashes == null) 0 else baseRevision, baseHashes.orEmpty(), chunks)
    }

    /** Returns as many of the chunks named by [hashes] as fit into one reply. */
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
