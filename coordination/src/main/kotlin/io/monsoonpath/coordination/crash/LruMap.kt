package io.monsoonpath.coordination.crash

/** A map that keeps the [maxSize] entries that were written last. */
internal class LruMap<K, V>(
    private val maxSize: Int,
) {
    private val entries = LinkedHashMap<K, V>()

    operator fun get(key: K): V? = entries[key]

    operator fun set(
        key: K,
        value: V,
    ) {
        entries.remove(key)
        entries[key] = value
        if (entries.size > maxSize) entries.remove(entries.keys.first())
    }
}
