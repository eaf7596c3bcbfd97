package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicReferenceArray

/**
 * Records which engines probably hold which prompt prefixes. Thread-safe.
 *
 * Cache events arrive late and with gaps, and the cache memory of engines is limited. An entry is therefore only a hint, and its
 * probability halves every [HALF_LIFE_MS]. A gap in the events of an engine invalidates its older hints, because the lost events may
 * have been evictions. The table has a fixed number of slots; a new prefix replaces the previous one in its slot.
 *
 * @param slots the number of slots, a power of two
 * @throws IllegalArgumentException if [slots] is not a power of two
 */
class PrefixHints(
    private val slots: Int,
) {
    private val table = AtomicReferenceArray<PrefixHolders?>(slots)
    private val streams = ConcurrentHashMap<BackendId, EventStream>()

    init {
        require(slots > 0 && Integer.bitCount(slots) == 1) { "slots must be a power of two: $slots" }
    }

    /** Records that [backend] holds the prefix with [prefixHash], because of a cache event or a request of this instance. */
    fun recordStored(
        prefixHash: Long,
        backend: BackendId,
        nowMs: Long,
    ) {
        table.getAndUpdate(slot(prefixHash)) { it.with(prefixHash, backend, nowMs) }
    }

    /** Records that [backend] has evicted the prefix with [prefixHash]. */
    fun recordEvicted(
        prefixHash: Long,
        backend: BackendId,
    ) {
        table.getAndUpdate(slot(prefixHash)) { if (it?.prefixHash == prefixHash) it.without(backend) else it }
    }

    /** Records the cache event with sequence number [seq] from [backend]; a gap in the sequence invalidates its older hints. */
    fun recordEvent(
        backend: BackendId,
        seq: Long,
        nowMs: Long,
    ) {
        streams.compute(backend) { _, last ->
            when {
                last == null || seq == last.seq + 1 -> EventStream(seq, last?.validFromMs ?: Long.MIN_VALUE)
                seq <= last.seq -> last
                else -> EventStream(seq, nowMs)
            }
        }
    }

    /** Invalidates all hints on [backend], for example after it has restarted. */
    fun invalidate(
        backend: BackendId,
        nowMs: Long,
    ) {
        streams.compute(backend) { _, last -> EventStream(last?.seq ?: 0, nowMs) }
    }

    /** Returns the engines that may hold the prefix with [prefixHash], or null if none is recorded. */
    fun holdersOrNull(prefixHash: Long): PrefixHolders? = table.get(slot(prefixHash))?.takeIf { it.prefixHash == prefixHash }

    /** Returns the estimated probability, from 0 to 1, that [backend] still holds the prefix of [holders]. */
    fun holdProbability(
        holders: PrefixHolders,
        backend: BackendId,
        nowMs: Long,
    ): Double {
        val i = holders.backends.indexOf(backend)
        if (i < 0) return 0.0
        val seenAtMs = holders.seenAtMs[i]
        val validFromMs = streams[backend]?.validFromMs ?: Long.MIN_VALUE
        if (seenAtMs < validFromMs) return 0.0
        return Math.pow(0.5, (nowMs - seenAtMs).coerceAtLeast(0).toDouble() / HALF_LIFE_MS)
    }

    private fun slot(prefixHash: Long): Int = (prefixHash xor (prefixHash ushr 32)).toInt() and (slots - 1)

    private class EventStream(
        val seq: Long,
        val validFromMs: Long,
    )

    private companion object {
        const val HALF_LIFE_MS = 30_000L
    }
}

/** The engines that were last observed to hold a prefix, the latest first; immutable. */
class PrefixHolders internal constructor(
    internal val prefixHash: Long,
    internal val backends: List<BackendId>,
    internal val seenAtMs: LongArray,
)

private fun PrefixHolders?.with(
    prefixHash: Long,
    backend: BackendId,
    nowMs: Long,
): PrefixHolders {
    if (this == null || this.prefixHash != prefixHash) return PrefixHolders(prefixHash, listOf(backend), longArrayOf(nowMs))
    val others = backends.indices.filter { backends[it] != backend }.take(MAX_HOLDERS - 1)
    return PrefixHolders(
        prefixHash,
        listOf(backend) + others.map { backends[it] },
        longArrayOf(nowMs) + others.map { seenAtMs[it] },
    )
}

private fun PrefixHolders.without(backend: BackendId): PrefixHolders? {
    val others = backends.indices.filter { backends[it] != backend }
    if (others.isEmpty()) return null
    return PrefixHolders(prefixHash, others.map { backends[it] }, LongArray(others.size) { seenAtMs[others[it]] })
}

private const val MAX_HOLDERS = 4
