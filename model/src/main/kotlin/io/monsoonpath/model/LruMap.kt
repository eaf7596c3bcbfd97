package io.monsoonpath.model

/** A map that keeps the [maxSize] entries that were written last. Not thread-safe. */
class LruMap<K, V : Any>(
    private val maxSize: Int,
) {
    private val entries = LinkedHashMap<K, V>()

    init {
        require(maxSize > 0) { "maxSize must be positive: $maxSize" }
    }

    /** Returns the value of [key], or null if it was never written or is no longer kept. */
    operator fun get(key: K): V? = entries[key]

    /** Returns whether a value of [key] is kept. */
    operator fun contains(key: K): Boolean = key in entries

    /** Writes the [value] of [key], which becomes the newest entry. */
    operator fun set(
        key: K,
        value: V,
    ) {
        entries.remove(key)
        entries[key] = value
        if (entries.size > maxSize) entries.remove(entries.keys.first())
    }

    /** Removes the entry of [key], if there is one. */
    fun remove(key: K) {
        entries.remove(key)
    }
}
