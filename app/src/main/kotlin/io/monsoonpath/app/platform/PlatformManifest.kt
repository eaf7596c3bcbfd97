package io.monsoonpath.app.platform

import io.monsoonpath.coordination.replication.Chunk
import io.monsoonpath.coordination.replication.ChunkHash
import io.monsoonpath.coordination.replication.chunkHashOf
import io.monsoonpath.coordination.replication.splitIntoChunks
import io.monsoonpath.model.DocumentJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** The maximum size of a value on the platform. */
internal const val MAX_VALUE_BYTES = 1_048_576

/**
 * A value that is published in place of a document that exceeds the maximum size of a value.
 *
 * The document is the concatenation of its [parts].
 *
 * @property manifest the version of the format; the presence of this field distinguishes a manifest from a document
 */
@Serializable
internal data class PlatformManifest(
    val manifest: Int,
    val revision: Long,
    val parts: List<PartName>,
)

/** The name of a value that holds a part of a document. It ends with the hash of the content. */
@Serializable
@JvmInline
internal value class PartName(
    val value: String,
)

/** The values that publish one document: [main] under the name of the document, and [parts] by their own names. */
internal class PlatformValues(
    val main: String,
    val parts: Map<String, ByteArray>,
)

/** Returns the values that publish [text] as [name]. A document of more than [maxBytes] is split into parts. */
internal fun splitIntoValues(
    name: String,
    revision: Long,
    text: String,
    maxBytes: Int = MAX_VALUE_BYTES,
): PlatformValues {
    val bytes = text.toByteArray()
    if (bytes.size <= maxBytes) return PlatformValues(text, emptyMap())
    val parts = groupChunks(splitIntoChunks(bytes)).associateBy { "$name.${it.contentHashHex()}" }
    val manifest = PlatformManifest(MANIFEST_VERSION, revision, parts.keys.map { PartName(it) })
    val main = DocumentJson.encodeToString(PlatformManifest.serializer(), manifest)
    return PlatformValues(main, parts)
}

/** Returns the manifest in [text], or null if [text] is not a manifest. */
internal fun manifestOrNull(text: ByteArray): PlatformManifest? {
    if (!MANIFEST_PATTERN.containsMatchIn(text.decodeToString(0, minOf(text.size, MANIFEST_PREFIX_BYTES)))) return null
    return try {
        DocumentJson
            .decodeFromString(PlatformManifest.serializer(), text.decodeToString())
            .takeIf { it.manifest == MANIFEST_VERSION && it.parts.size in 1..MAX_PARTS }
    } catch (_: SerializationException) {
        null
    }
}

/** Returns whether the hash in this name is the hash of [content]. */
internal fun PartName.matches(content: ByteArray): Boolean = value.endsWith(".${content.contentHashHex()}")

/** Joins chunks to groups whose boundaries depend on the content alone, so that a change does not affect the other groups. */
private fun groupChunks(chunks: List<Chunk>): List<ByteArray> {
    val groups = ArrayList<ByteArray>()
    val group = ArrayList<ByteArray>()
    chunks.forEachIndexed { i, chunk ->
        group += chunk.bytes
        val isGroupEnd = chunk.hash.low and GROUP_BOUNDARY_MASK == 0L || group.size == MAX_GROUP_CHUNKS || i == chunks.lastIndex
        if (isGroupEnd) {
            groups += group.reduce { joined, bytes -> joined + bytes }
            group.clear()
        }
    }
    return groups
}

private fun ByteArray.contentHashHex(): String = chunkHashOf(this).toHex()

private fun ChunkHash.toHex() =
    high.toULong().toString(RADIX).padStart(HEX_DIGITS, '0') + low.toULong().toString(RADIX).padStart(HEX_DIGITS, '0')

private const val MANIFEST_VERSION = 1
private const val MANIFEST_PREFIX_BYTES = 64
private const val MAX_PARTS = 4_096
private const val MAX_GROUP_CHUNKS = 128
private const val GROUP_BOUNDARY_MASK = 63L
private const val RADIX = 16
private const val HEX_DIGITS = 16
private val MANIFEST_PATTERN = Regex("^\\s*\\{\\s*\"manifest\"\\s*:")
