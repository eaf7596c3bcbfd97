package io.monsoonpath.coordination.replication

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import kotlin.random.Random
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ChunksProperties {
    @Property(seed = "51", tries = 200)
    fun `a document is restored from its base and a delta`(
        @ForAll seed: Long,
        @ForAll @IntRange(max = 3_000) lines: Int,
    ) {
        val old = documentOf(lines, Random(seed))
        val new = changed(old, Random(seed + 1))
        val delta = computeDelta(DocumentKind.CONFIGURATION, 2, 1, splitIntoChunks(old).map { it.hash }, splitIntoChunks(new))
        val byHash = (splitIntoChunks(old) + delta.chunks.map { chunkOf(it.bytes) }).associateBy { it.hash }
        val hashes = checkNotNull(applyDelta(delta, splitIntoChunks(old).map { it.hash }))
        assertContentEquals(new, joinChunks(hashes.map { byHash.getValue(it) }))
        assertTrue(delta.chunks.sumOf { it.bytes.size } <= MAX_DELTA_BYTES, "the delta has ${delta.chunks.sumOf { it.bytes.size }} bytes")
    }

    @Property(seed = "52", tries = 500)
    fun `a delta that does not fit its base is rejected`(
        @ForAll from: Int,
        @ForAll count: Int,
    ) {
        val base = splitIntoChunks(documentOf(200, Random(1)))
        val delta = computeDelta(DocumentKind.CONFIGURATION, 2, 1, base.map { it.hash }, base).copy(instructions = listOf(from, count))
        val applied = applyDelta(delta, base.map { it.hash })
        val fits = from in base.indices && count in 1..base.size - from
        assertEquals(fits, applied != null)
    }

    private fun documentOf(
        lines: Int,
        random: Random,
    ) = (1..lines).joinToString(",\n") { "  \"line\": \"${random.nextLong()}\"" }.toByteArray()

    /** Replaces one line, and removes or inserts another. */
    private fun changed(
        document: ByteArray,
        random: Random,
    ): ByteArray {
        val lines = document.decodeToString().split("\n").toMutableList()
        lines[random.nextInt(lines.size)] = "a line that was changed,"
        if (random.nextBoolean()) lines.removeAt(random.nextInt(lines.size)) else lines.add(random.nextInt(lines.size), "a new line,")
        return lines.joinToString("\n").toByteArray()
    }

    private companion object {
        /** Two edits, each with at most three chunks of maximum length. */
        const val MAX_DELTA_BYTES = 6 * 4_096
    }
}
