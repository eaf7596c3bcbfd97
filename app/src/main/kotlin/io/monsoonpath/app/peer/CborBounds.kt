package io.monsoonpath.app.peer

/**
 * Makes sure that [bytes] are one CBOR item of bounded depth whose lengths lie within the bytes.
 *
 * The decoder trusts lengths and recurses once a level, so this runs before it.
 *
 * @throws MalformedFrameException if a bound is passed or an item is cut short
 */
internal fun requireBoundedCbor(bytes: ByteArray) {
    val open = LongArray(MAX_DEPTH + 1)
    var depth = 0
    var at = 0
    open[0] = 1
    while (depth >= 0) {
        if (open[depth] == 0L) {
            depth--
            continue
        }
        open[depth]--
        val head = CborHead.read(bytes, at)
        at = head.end
        when (head.major) {
            MAJOR_BYTES, MAJOR_TEXT -> at += lengthIn(head.value, bytes.size - at)
            MAJOR_ARRAY -> open[nextDepth(depth++)] = lengthIn(head.value, bytes.size - at).toLong()
            MAJOR_MAP -> open[nextDepth(depth++)] = 2L * lengthIn(head.value, (bytes.size - at) / 2)
            MAJOR_TAG -> requireWellFormed(false) { "a tag stands at byte $at" }
        }
    }
    requireWellFormed(at == bytes.size) { "${bytes.size - at} bytes follow the item" }
}

private fun nextDepth(depth: Int): Int {
    requireWellFormed(depth < MAX_DEPTH) { "the nesting is deeper than $MAX_DEPTH levels" }
    return depth + 1
}

private fun lengthIn(
    length: Long,
    available: Int,
): Int {
    requireWellFormed(length in 0..available) { "a length of $length stands before $available bytes" }
    return length.toInt()
}

/** The first bytes of a CBOR item: its major type and its value or length. */
private class CborHead(
    val major: Int,
    val value: Long,
    val end: Int,
) {
    companion object {
        fun read(
            bytes: ByteArray,
            at: Int,
        ): CborHead {
            requireWellFormed(at < bytes.size) { "an item is missing at byte $at" }
            val first = bytes[at].toInt() and 0xff
            val info = first and INFO_MASK
            requireWellFormed(info <= INFO_LONG) { "an indefinite or reserved length stands at byte $at" }
            if (info < INFO_BYTE) return CborHead(first ushr MAJOR_SHIFT, info.toLong(), at + 1)
            val width = 1 shl (info - INFO_BYTE)
            requireWellFormed(width < bytes.size - at) { "a length is cut short at byte $at" }
            val value = (1..width).fold(0L) { value, i -> (value shl Byte.SIZE_BITS) or (bytes[at + i].toLong() and 0xff) }
            return CborHead(first ushr MAJOR_SHIFT, value, at + 1 + width)
        }
    }
}

private const val MAX_DEPTH = 12
private const val MAJOR_SHIFT = 5
private const val MAJOR_BYTES = 2
private const val MAJOR_TEXT = 3
private const val MAJOR_ARRAY = 4
private const val MAJOR_MAP = 5
private const val MAJOR_TAG = 6
private const val INFO_MASK = 0x1f
private const val INFO_BYTE = 24
private const val INFO_LONG = 27
