package io.monsoonpath.app.peer

/**
 * Checks that [bytes] contain exactly one CBOR item, that its nesting is at most [MAX_DEPTH] levels deep, and that its lengths
 * do not exceed the available bytes.
 *
 * This must run before the decoder, which trusts the lengths and recurses once per level.
 *
 * @throws MalformedFrameException if a bound is exceeded, an item is truncated, or an item has a tag or an indefinite length
 */
internal fun requireBoundedCbor(bytes: ByteArray) {
    val remainingItems = LongArray(MAX_DEPTH + 1)
    var depth = 0
    var at = 0
    remainingItems[0] = 1
    while (depth >= 0) {
        if (remainingItems[depth] == 0L) {
            depth--
            continue
        }
        remainingItems[depth]--
        val head = CborHead.read(bytes, at)
        at = head.end
        when (head.majorType) {
            MAJOR_BYTES, MAJOR_TEXT -> at += checkedLength(head.argument, bytes.size - at)
            MAJOR_ARRAY -> remainingItems[nextDepth(depth++)] = checkedLength(head.argument, bytes.size - at).toLong()
            MAJOR_MAP -> remainingItems[nextDepth(depth++)] = 2L * checkedLength(head.argument, (bytes.size - at) / 2)
            MAJOR_TAG -> requireWellFormed(false) { "unsupported CBOR tag before byte $at" }
        }
    }
    requireWellFormed(at == bytes.size) { "${bytes.size - at} unexpected bytes after the CBOR item" }
}

private fun nextDepth(depth: Int): Int {
    requireWellFormed(depth < MAX_DEPTH) { "the CBOR nesting is deeper than $MAX_DEPTH levels" }
    return depth + 1
}

private fun checkedLength(
    length: Long,
    available: Int,
): Int {
    requireWellFormed(length in 0..available) { "a CBOR length of $length is out of range, the maximum is $available" }
    return length.toInt()
}

/**
 * Represents the head of a CBOR item (RFC 8949).
 *
 * @property argument the value or the length of the item, depending on its major type
 * @property end the index of the first byte after the head
 */
private class CborHead(
    val majorType: Int,
    val argument: Long,
    val end: Int,
) {
    companion object {
        fun read(
            bytes: ByteArray,
            at: Int,
        ): CborHead {
            requireWellFormed(at < bytes.size) { "missing CBOR item at byte $at" }
            val first = bytes[at].toInt() and 0xff
            val additionalInfo = first and ADDITIONAL_INFO_MASK
            requireWellFormed(additionalInfo <= EIGHT_BYTE_ARGUMENT) { "indefinite or reserved CBOR length at byte $at" }
            if (additionalInfo < ONE_BYTE_ARGUMENT) return CborHead(first ushr MAJOR_TYPE_SHIFT, additionalInfo.toLong(), at + 1)
            val argumentBytes = 1 shl (additionalInfo - ONE_BYTE_ARGUMENT)
            requireWellFormed(argumentBytes < bytes.size - at) { "truncated CBOR length at byte $at" }
            val argument =
                (1..argumentBytes).fold(0L) { accumulated, i ->
                    (accumulated shl Byte.SIZE_BITS) or
                        (bytes[at + i].toLong() and 0xff)
                }
            return CborHead(first ushr MAJOR_TYPE_SHIFT, argument, at + 1 + argumentBytes)
        }
    }
}

private const val MAX_DEPTH = 12
private const val MAJOR_TYPE_SHIFT = 5
private const val MAJOR_BYTES = 2
private const val MAJOR_TEXT = 3
private const val MAJOR_ARRAY = 4
private const val MAJOR_MAP = 5
private const val MAJOR_TAG = 6
private const val ADDITIONAL_INFO_MASK = 0x1f
private const val ONE_BYTE_ARGUMENT = 24
private const val EIGHT_BYTE_ARGUMENT = 27
