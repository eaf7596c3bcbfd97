package io.monsoonpath.gateway.http

import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs

/**
 * The memory and the connections that all callers together may use.
 *
 * @property maxBytes the memory for requests that are read or served and for responses that their callers have not read
 * @property maxConnections the connections from callers
 */
data class CallerCapacity(
    val maxBytes: Long,
    val maxConnections: Int,
) {
    /** Computes capacities from what the machine and the JVM provide. */
    companion object {
        /**
         * Returns the capacity of a process with [heapBytes] at most on a machine that grants it [memoryBytes] and [descriptors], 0 where
         * that is not known.
         */
        fun of(
            heapBytes: Long,
            memoryBytes: Long,
            descriptors: Int,
        ): CallerCapacity {
            val ofMachine = if (memoryBytes > 0) (memoryBytes - PROCESS_BYTES) / MEMORY_FRACTION else Long.MAX_VALUE
            val usable = (if (descriptors > 0) descriptors else DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
            return CallerCapacity(
                maxBytes = minOf(heapBytes / HEAP_FRACTION, ofMachine).coerceAtLeast(MIN_BYTES),
                maxConnections =
                    minOf(usable * CALLER_SHARE_PERCENT / PERCENT.toLong(), heapBytes / HEAP_BYTES_PER_CONNECTION)
                        .coerceAtLeast(MIN_CONNECTIONS)
                        .toInt(),
            )
        }

        private const val HEAP_FRACTION = 4

        /** The resident memory of a process that serves nothing, measured with 73 to 80 MB. */
        private const val PROCESS_BYTES = 80L shl 20

        /** Bodies are copied to direct memory while they are sent, and freed memory of the heap stays resident. */
        private const val MEMORY_FRACTION = 4

        /** Twice the largest body of the usual limits. */
        private const val MIN_BYTES = 8L shl 20
        private const val RESERVED_DESCRIPTORS = 200
        private const val DEFAULT_DESCRIPTORS = 4_096

        /** Leaves the rest to backend servers, peers, the store and the other ports. */
        private const val CALLER_SHARE_PERCENT = 75
        private const val PERCENT = 100
        private const val HEAP_BYTES_PER_CONNECTION = 32L * 1024
        private const val MIN_CONNECTIONS = 64L
    }
}

/**
 * What one connection holds.
 *
 * @property bytes the memory
 * @property sinceMs the time since which its request is unfinished, its response unread, or the connection idle
 */
internal data class Holding(
    val bytes: Long,
    val sinceMs: Long,
    val state: State,
) {
    enum class State {
        /** Nothing is read or served. */
        IDLE,

        /** A request is not complete, or a finished response is not read. */
        UNFINISHED,

        /** A backend server may be working on the request. */
        SERVED,

        /** The connection is about to be closed. */
        CLOSING,
    }
}

/** Decides whose memory is freed and whose connection is closed. Pure. */
internal object CallerEviction {
    /** Counts for as much as the bytes, so that among requests of one size the slowest is chosen, and among young ones the largest. */
    private const val MIN_AGE_MS = 1_000L

    /** The size up to which requests are accepted from the reserve that larger ones may not use. */
    const val FAIR_BYTES = 16L * 1024

    /** The part of the budget that only requests of at most [FAIR_BYTES] may use, as a divisor. */
    private const val RESERVE_FRACTION = 4

    /** Returns whether a holding that grows to [bytes] fits when [usedBytes] of [maxBytes] are in use including the growth. */
    fun fits(
        bytes: Long,
        usedBytes: Long,
        maxBytes: Long,
    ): Boolean = usedBytes <= if (bytes <= FAIR_BYTES) maxBytes else maxBytes - maxBytes / RESERVE_FRACTION

    /** Returns the unfinished holding of more than [minBytes] with the highest product of bytes and age, or null. */
    fun <T> toFreeMemory(
        holders: Iterable<T>,
        nowMs: Long,
        minBytes: Long = 0,
        holdingOf: (T) -> Holding,
    ): T? =
        holders
            .filter { holder -> holdingOf(holder).let { it.state == Holding.State.UNFINISHED && it.bytes > minBytes } }
            .maxByOrNull { holder -> holdingOf(holder).let { it.bytes * (nowMs - it.sinceMs + MIN_AGE_MS) } }

    /** Returns the connection that has been idle for longest, else the one whose request is unfinished for longest, else null. */
    fun <T> toFreeConnection(
        holders: Iterable<T>,
        holdingOf: (T) -> Holding,
    ): T? =
        holders
            .filter { holdingOf(it).state == Holding.State.IDLE || holdingOf(it).state == Holding.State.UNFINISHED }
            .minWithOrNull(compareBy({ holdingOf(it).state }, { holdingOf(it).sinceMs }))
}

/** A connection that is charged for what its caller makes the instance hold. */
internal interface MemoryHolder {
    val holding: Holding

    /** Rejects the unfinished request, frees its memory and closes the connection. */
    fun evict()
}

/** What is charged to [budget] for [holder]. */
internal class CallerAccount(
    private val budget: CallerBudget,
    private val holder: MemoryHolder,
) {
    /** The bytes that are charged. */
    var bytes = 0L
        private set

    /** Charges [count] bytes, or returns false if they do not fit. */
    fun charge(count: Long): Boolean = budget.charge(holder, count).also { if (it) bytes += count }

    /** Charges [count] bytes that are held in any case. */
    fun chargeAlways(count: Long) {
        bytes += count
        budget.chargeAlways(holder, count)
    }

    /** Frees [count] bytes, or those that are left. */
    fun free(count: Long) {
        val freed = minOf(count, bytes)
        bytes -= freed
        budget.free(freed)
    }

    /** Frees all bytes. */
    fun freeAll() = free(bytes)
}

/**
 * The memory that all callers make this instance hold. What is held for a request is charged before it is allocated; a charge that does
 * not fit evicts unfinished requests of others, the largest and slowest first. Must be used on the event loop only.
 */
class CallerBudget(
    private val capacity: CallerCapacity,
    private val clock: ClockMs,
    private val log: DecisionLog,
) {
    private val holders = LinkedHashSet<MemoryHolder>()
    private val loggedAtMs = HashMap<String, Long>()
    private val unloggedCounts = HashMap<String, Int>()

    /** The bytes that are charged. */
    var usedBytes = 0L
        private set

    /** The requests that were rejected, and connections that were closed, because a limit was exceeded. */
    var evictionCount = 0L
        private set

    /** Adds [holder], after closing another connection if there are too many; returns false if none can be closed. */
    internal fun add(holder: MemoryHolder): Boolean {
        if (holders.size >= capacity.maxConnections) {
            val victim = CallerEviction.toFreeConnection(holders) { it.holding }
            record("connections", (victim ?: holder).holding)
            if (victim == null) return false
            victim.evict()
            remove(victim)
        }
        holders.add(holder)
        return true
    }

    internal fun remove(holder: MemoryHolder) {
        holders.remove(holder)
    }

    /**
     * Charges [bytes] to [holder], which adds them to its holding; returns false and charges nothing if they do not fit. The holder
     * competes with its size after the growth, so that a large request is not read at the expense of small ones.
     */
    internal fun charge(
        holder: MemoryHolder,
        bytes: Long,
    ): Boolean {
        usedBytes += bytes
        while (!CallerEviction.fits(holder.holding.bytes + bytes, usedBytes, capacity.maxBytes)) {
            val minBytes = if (holder.holding.state == Holding.State.SERVED) CallerEviction.FAIR_BYTES else 0
            val victim =
                CallerEviction.toFreeMemory(holders, clock.nowMs(), minBytes) {
                    if (it === holder) it.holding.copy(bytes = it.holding.bytes + bytes) else it.holding
                }
            if (victim == null || victim === holder) {
                usedBytes -= bytes
                record("memory", holder.holding)
                return false
            }
            record("memory", victim.holding)
            holders.remove(victim)
            victim.evict()
        }
        return true
    }

    /** Charges [bytes] that [holder] holds in any case, such as a response, and evicts others if that exceeds the budget. */
    internal fun chargeAlways(
        holder: MemoryHolder,
        bytes: Long,
    ) {
        usedBytes += bytes
        while (usedBytes > capacity.maxBytes) {
            val victim = CallerEviction.toFreeMemory(holders, clock.nowMs(), CallerEviction.FAIR_BYTES) { it.holding } ?: return
            if (victim === holder) return
            record("memory", victim.holding)
            holders.remove(victim)
            victim.evict()
        }
    }

    /** Frees [bytes] that were charged. */
    internal fun free(bytes: Long) {
        usedBytes -= bytes
    }

    /** Counts a connection that exceeded the limit called [limit], and logs it unless one was logged within [LOG_INTERVAL_MS]. */
    internal fun record(
        limit: String,
        holding: Holding,
    ) {
        evictionCount++
        val nowMs = clock.nowMs()
        val isRecent = loggedAtMs[limit]?.let { nowMs - it < LOG_INTERVAL_MS } == true
        unloggedCounts.merge(limit, 1, Int::plus)
        if (isRecent) return
        loggedAtMs[limit] = nowMs
        log.line(
            "caller.evicted",
            "limit" to limit,
            "bytes" to holding.bytes,
            "ageMs" to nowMs - holding.sinceMs,
            "state" to holding.state,
            "usedBytes" to usedBytes,
            "maxBytes" to capacity.maxBytes,
            "connections" to holders.size,
            "count" to unloggedCounts.remove(limit),
        )
    }

    private companion object {
        const val LOG_INTERVAL_MS = 1_000L
    }
}
