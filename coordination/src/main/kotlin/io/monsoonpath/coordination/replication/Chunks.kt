package io.monsoonpath.coordination.replication

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The first 16 bytes of the SHA-256 hash of a chunk. */
data class ChunkHash(
    val high: Long,
    val low: Long,
)

/** A contiguous range of a document's bytes, identified by the hash of its content. */
class Chunk(
    val hash: ChunkHash,
    val bytes: ByteArray,
)

/** Creates the chunk with the content [bytes]. */
fun chunkOf(bytes: ByteArray): Chunk = Chunk(chunkHashOf(bytes), bytes)

/** Returns the hash of [bytes]. */
fun chunkHashOf(bytes: ByteArray): ChunkHash {
    val digest = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes))
    return ChunkHash(digest.getLong(), digest.getLong())
}

/**
 * Splits [text] by content-defined chunking into chunks of about one kilobyte.
 *
 * Boundaries depend on the content only, so a local edit changes only the chunks around it, and all processes produce the same chunks.
 */
fun splitIntoChunks(text: ByteArray): List<Chunk> {
    val chunks = ArrayList<Chunk>(text.size / TARGET_CHUNK_BYTES + 1)
    var start = 0
    var hash = 0
    for (i in text.indices) {
        val b = text[i].toInt()
        hash = hash * HASH_FACTOR + b
        val length = i + 1 - start
        val isSegmentEnd = b == '\n'.code || b == ','.code
        val isCut = isSegmentEnd && length >= MIN_CHUNK_BYTES && mixBits(hash) and CUT_MASK == 0
        if (isCut || length == MAX_CHUNK_BYTES) {
            chunks += chunkOf(text.copyOfRange(start, i + 1))
            start = i + 1
        }
        if (isSegmentEnd) hash = 0
    }
    if (start < text.size) chunks += chunkOf(text.copyOfRange(start, text.size))
    return chunks
}

/** Concatenates [chunks] to the original text. */
fun joinChunks(chunks: List<Chunk>): ByteArray {
    val text = ByteBuffer.allocate(chunks.sumOf { it.bytes.size })
    chunks.forEach { text.put(it.bytes) }
    return text.array()
}

/** Encodes [hashes] as 16 bytes each. */
internal fun packHashes(hashes: List<ChunkHash>): ByteArray {
    val buffer = ByteBuffer.allocate(hashes.size * HASH_BYTES)
    hashes.forEach { buffer.putLong(it.high).putLong(it.low) }
    return buffer.array()
}

/** Decodes the hashes in [packed], or returns null if its length is not a multiple of 16. */
internal fun unpackHashesOrNull(packed: ByteArray): List<ChunkHash>? {
    if (packed.size % HASH_BYTES != 0) return null
    val buffer = ByteBuffer.wrap(packed)
    return List(packed.size / HASH_BYTES) { ChunkHash(buffer.getLong(), buffer.getLong()) }
}

/** Mixes the bits of [hash], because its low bits depend on the last bytes only. */
private fun mixBits(hash: Int): Int {
    val product = hash * MIX_FACTOR
    return product xor (product ushr 15)
}

private const val HASH_BYTES = 16
private const val HASH_FACTOR = 31
private const val MIX_FACTOR = -0x61c88647
private const val MIN_CHUNK_BYTES = 256
private const val MAX_CHUNK_BYTES = 4_096
private const val TARGET_CHUNK_BYTES = 1_024
private const val CUT_MASK = 15
