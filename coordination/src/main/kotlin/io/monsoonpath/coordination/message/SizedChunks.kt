package io.monsoonpath.coordination.message

/** Splits this list into lists of one or more consecutive elements, with a size of [maxSize] at most unless a single element is larger. */
fun <T> List<T>.chunkedBySize(
    maxSize: Int,
    sizeOf: (T) -> Int,
): List<List<T>> {
    val chunks = ArrayList<ArrayList<T>>()
    var chunkSize = 0
    for (element in this) {
        val size = sizeOf(element)
        if (chunks.isEmpty() || chunkSize + size > maxSize) {
            chunks += ArrayList<T>()
            chunkSize = 0
        }
        chunks.last() += element
        chunkSize += size
    }
    return chunks
}
