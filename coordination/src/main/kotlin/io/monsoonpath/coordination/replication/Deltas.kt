package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.ChunkBytes
import io.monsoonpath.coordination.message.DocumentDelta

/** Returns the delta that transforms the document with the chunk hashes [base] into [chunks]. */
internal fun computeDelta(
    kind: DocumentKind,
    revision: Long,
    baseRevision: Long,
    base: List<ChunkHash>,
    chunks: List<Chunk>,
): DocumentDelta {
    val baseIndexes = HashMap<ChunkHash, Int>(base.size * 2)
    base.forEachIndexed { i, hash -> baseIndexes.putIfAbsent(hash, i) }
    val instructions = ArrayList<Int>()
    val inserted = ArrayList<Chunk>()
    var i = 0
    while (i < chunks.size) {
        val from = baseIndexes[chunks[i].hash] ?: NEW_CHUNKS
        val count = if (from == NEW_CHUNKS) newRunLength(chunks, i, baseIndexes) else commonRunLength(base, from, chunks, i)
        if (from == NEW_CHUNKS) inserted += chunks.subList(i, i + count)
        instructions += from
        instructions += count
        i += count
    }
    val isInline = inserted.sumOf { it.bytes.size } <= MAX_INLINE_BYTES
    return DocumentDelta(
        kind = kind.ordinal,
        revision = revision,
        baseRevision = baseRevision,
        instructions = instructions,
        hashes = packHashes(inserted.map { it.hash }),
        chunks = if (isInline) inserted.map { ChunkBytes(it.bytes) } else emptyList(),
    )
}

/** Returns the chunk hashes of the document that results from applying [delta] to [base], or null if the delta is not valid for it. */
internal fun applyDelta(
    delta: DocumentDelta,
    base: List<ChunkHash>,
): List<ChunkHash>? {
    val inserted = unpackHashesOrNull(delta.hashes) ?: return null
    if (delta.instructions.size % 2 != 0) return null
    val result = ArrayList<ChunkHash>()
    var nextInserted = 0
    for (i in delta.instructions.indices step 2) {
        val from = delta.instructions[i]
        val count = delta.instructions[i + 1]
        val source = if (from == NEW_CHUNKS) inserted else base
        val start = if (from == NEW_CHUNKS) nextInserted else from
        val isInRange = start in 0..source.size && count in 1..(source.size - start)
        if (!isInRange || result.size + count > MAX_CHUNKS) return null
        result += source.subList(start, start + count)
        if (from == NEW_CHUNKS) nextInserted += count
    }
    return result.takeIf { nextInserted == inserted.size }
}

private fun newRunLength(
    chunks: List<Chunk>,
    start: Int,
    baseIndexes: Map<ChunkHash, Int>,
): Int = (start until chunks.size).firstOrNull { chunks[it].hash in baseIndexes }?.let { it - start } ?: (chunks.size - start)

private fun commonRunLength(
    base: List<ChunkHash>,
    from: Int,
    chunks: List<Chunk>,
    start: Int,
): Int {
    var count = 0
    while (from + count < base.size && start + count < chunks.size && base[from + count] == chunks[start + count].hash) count++
    return count
}

private const val NEW_CHUNKS = -1
private const val MAX_INLINE_BYTES = 131_072
private const val MAX_CHUNKS = 262_144
