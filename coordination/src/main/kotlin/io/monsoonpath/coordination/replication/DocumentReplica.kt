package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.DocumentChange
import io.monsoonpath.coordination.message.PartBytes
import io.monsoonpath.coordination.message.PartsReply

/** One process's copy of a published document, in parts, with the part hashes of its last revisions. */
internal class DocumentReplica(
    private val kind: DocumentKind,
) {
    private val history = LinkedHashMap<Long, List<PartHash>>()
    private var parts = emptyList<Part>()
    private var partOf = emptyMap<PartHash, Part>()

    /** The revision in force, 0 before the first. */
    var revision = 0L
        private set

    /** Puts [newParts] in force as [newRevision], which must be higher than the one in force. */
    fun adopt(
        newRevision: Long,
        newParts: List<Part>,
    ) {
        require(newRevision > revision) { "revision must be above $revision, was $newRevision" }
        revision = newRevision
        parts = newParts
        partOf = newParts.associateBy { it.hash }
        history[newRevision] = newParts.map { it.hash }
        while (history.size > HISTORY_REVISIONS) history.remove(history.keys.first())
    }

    /** Returns the part with [hash] in the document in force, or null. */
    fun partOrNull(hash: PartHash): Part? = partOf[hash]

    /** Returns the hashes of the parts of [revision], or null if they are not kept; revision 0 has none. */
    fun hashesOrNull(revision: Long): List<PartHash>? = if (revision == 0L) emptyList() else history[revision]

    /** Returns the change from revision [have], or the whole document if that one is not kept. */
    fun changeFrom(have: Long): DocumentChange {
        val base = hashesOrNull(have)
        return changeOf(kind, revision, if (base == null) 0 else have, base.orEmpty(), parts)
    }

    /** Returns as many of the parts named by [hashes] as fit into one reply. */
    fun reply(hashes: List<PartHash>): PartsReply {
        var bytes = 0
        val found =
            hashes.mapNotNull { partOf[it] }.takeWhile { part ->
                (bytes + part.bytes.size <= MAX_REPLY_BYTES).also {
                    bytes +=
                        part.bytes.size
                }
            }
        return PartsReply(kind.ordinal, found.map { PartBytes(it.bytes) })
    }

    private companion object {
        const val HISTORY_REVISIONS = 8
        const val MAX_REPLY_BYTES = 131_072
    }
}
