package io.monsoonpath.coordination.replication

import java.nio.ByteBuffer
import java.security.MessageDigest

/** The first 16 bytes of the SHA-256 of a part. */
data class PartHash(
    val high: Long,
    val low: Long,
)

/** A run of a document's bytes, named by its content. */
class Part(
    val hash: PartHash,
    val bytes: ByteArray,
)

/** Returns the part that holds [bytes]. */
fun partOf(bytes: ByteArray): Part = Part(hashOf(bytes), bytes)

/** Returns the hash that names [bytes]. */
fun hashOf(bytes: ByteArray): PartHash {
    val digest = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes))
    return PartHash(digest.getLong(), digest.getLong())
}

/**
 * Cuts [text] into parts of about a kilobyte at places that depend on the content alone.
 *
 * A change in one place therefore changes the parts at that place only, and each process finds the same parts.
 */
fun partsOf(text: ByteArray): List<Part> {
    val parts = ArrayList<Part>(text.size / TARGET_PART_BYTES + 1)
    var start = 0
    var hash = 0
    for (i in text.indices) {
        val b = text[i].toInt()
        hash = hash * HASH_FACTOR + b
        val length = i + 1 - start
        val isSegmentEnd = b == '\n'.code || b == ','.code
        val isCut = isSegmentEnd && length >= MIN_PART_BYTES && mixed(hash) and CUT_MASK == 0
        if (isCut || length == MAX_PART_BYTES) {
            parts += partOf(text.copyOfRange(start, i + 1))
            start = i + 1
        }
        if (isSegmentEnd) hash = 0
    }
    if (start < text.size) parts += partOf(text.copyOfRange(start, text.size))
    return parts
}

/** Joins [parts] to the text they were cut from. */
fun textOf(parts: List<Part>): ByteArray {
    val text = ByteBuffer.allocate(parts.sumOf { it.bytes.size })
    parts.forEach { text.put(it.bytes) }
    return text.array()
}

/** Packs [hashes] into 16 bytes each. */
internal fun packed(hashes: List<PartHash>): ByteArray {
    val buffer = ByteBuffer.allocate(hashes.size * HASH_BYTES)
    hashes.forEach { buffer.putLong(it.high).putLong(it.low) }
    return buffer.array()
}

/** Returns the hashes in [packed], or null if its length is not a multiple of 16. */
internal fun unpackedOrNull(packed: ByteArray): List<PartHash>? {
    if (packed.size % HASH_BYTES != 0) return null
    val buffer = ByteBuffer.wrap(packed)
    return List(packed.size / HASH_BYTES) { PartHash(buffer.getLong(), buffer.getLong()) }
}

/** Spreads the bits of [hash], whose low bits depend on the last bytes only. */
private fun mixed(hash: Int): Int {
    val product = hash * MIX_FACTOR
    return product xor (product ushr 15)
}

private const val HASH_BYTES = 16
private const val HASH_FACTOR = 31
private const val MIX_FACTOR = -0x61c88647
private const val MIN_PART_BYTES = 256
private const val MAX_PART_BYTES = 4_096
private const val TARGET_PART_BYTES = 1_024
private const val CUT_MASK = 15
