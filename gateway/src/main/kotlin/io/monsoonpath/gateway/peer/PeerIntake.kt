package io.monsoonpath.gateway.peer

import io.monsoonpath.gateway.log.DecisionLog

/**
 * What all connections from peers may use. The port asks for no secret, so anybody on the private network can connect to it.
 *
 * @property maxBytes the memory for messages that are not complete, in bytes
 * @property maxConnections the connections from peers
 */
internal data class PeerCapacity(
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
            memoryBytes: Long = 0,
            descriptors: Int = 0,
        ): PeerCapacity {
            val ofMachine = if (memoryBytes > 0) (memoryBytes - PROCESS_BYTES) / MEMORY_FRACTION else Long.MAX_VALUE
            return PeerCapacity(
                maxBytes = minOf(heapBytes / MEMORY_FRACTION, ofMachine).coerceAtLeast(MIN_BYTES),
                maxConnections =
                    ((if (descriptors > 0) descriptors else DEFAULT_DESCRIPTORS) / DESCRIPTOR_FRACTION).coerceAtLeast(MIN_CONNECTIONS),
            )
        }

        /** The resident memory of a process that serves nothing, as for callers. */
        private const val PROCESS_BYTES = 80L shl 20
        private const val MEMORY_FRACTION = 8

        /** Two of the longest messages. */
        private const val MIN_BYTES = 4L shl 20
        private const val DEFAULT_DESCRIPTORS = 4_096

        /** Gives 512 connections to an instance with 4,096 descriptors; each other instance of a fleet needs one. */
        private const val DESCRIPTOR_FRACTION = 8
        private const val MIN_CONNECTIONS = 64
    }
}

/** A connection from a peer that is charged for its unfinished message. Fields are changed by [PeerIntake] only. */
internal class PeerInput(
    val host: String,
    /** Closes the connection. */
    val close: () -> Unit,
) {
    /** The bytes of the unfinished message. */
    var bytes = 0L
        internal set

    /** The rank in time of the beginning of the unfinished message, or of the connection. */
    var since = 0L
        internal set

    /** Whether a message has been received, as strangers do not know their format. */
    var hasDelivered = false
        internal set
}

/**
 * Bounds the connections from peers and the memory of their unfinished messages. Connections that have not delivered a message are closed
 * first, so that members keep theirs. Must be used on the event loop only.
 */
internal class PeerIntake(
    private val capacity: PeerCapacity,
    private val log: DecisionLog,
) {
    /** The open connections, the oldest first. */
    private val inputs = LinkedHashSet<PeerInput>()
    private var sequence = 0L

    /** The bytes of all unfinished messages. */
    var usedBytes = 0L
        private set

    /** The connections that were closed because a limit was exceeded. */
    var evictionCount = 0L
        private set

    /** Adds [input], after closing another connection if there are too many; returns false if all others belong to members. */
    fun add(input: PeerInput): Boolean {
        if (inputs.size >= capacity.maxConnections) {
            val victim = PeerEviction.toFreeConnection(inputs)
            record("connections", victim ?: input)
            if (victim == null) return false
            evict(victim)
        }
        input.since = ++sequence
        return inputs.add(input)
    }

    /** Removes [input], whose connection was closed. */
    fun remove(input: PeerInput) {
        if (inputs.remove(input)) usedBytes -= input.bytes
    }

    /** Charges [bytes] that [input] has received; closes the connections with the oldest unfinished messages if they do not fit. */
    fun receive(
        input: PeerInput,
        bytes: Int,
    ) {
        if (input !in inputs) return
        if (input.bytes == 0L) input.since = ++sequence
        input.bytes += bytes
        usedBytes += bytes
        while (usedBytes > capacity.maxBytes) {
            val victim = PeerEviction.toFreeMemory(inputs) ?: return
            record("memory", victim)
            evict(victim)
        }
    }

    /** Frees [bytes] of a message of [input] that is complete. */
    fun deliver(
        input: PeerInput,
        bytes: Int,
    ) {
        if (input !in inputs) return
        input.hasDelivered = true
        input.since = ++sequence
        input.bytes -= bytes
        usedBytes -= bytes
    }

    private fun evict(victim: PeerInput) {
        remove(victim)
        victim.close()
    }

    private fun record(
        limit: String,
        input: PeerInput,
    ) {
        if (evictionCount++ % LOGGED_SHARE != 0L) return
        log.line(
            "peer.evicted",
            "limit" to limit,
            "peer" to input.host,
            "bytes" to input.bytes,
            "hasDelivered" to input.hasDelivered,
            "usedBytes" to usedBytes,
            "connections" to inputs.size,
            "count" to evictionCount,
        )
    }

    private companion object {
        /** One eviction of so many is logged. */
        const val LOGGED_SHARE = 100L
    }
}

/** Decides which connection from a peer is closed. Pure. */
internal object PeerEviction {
    /** Returns the connection whose unfinished message began first, one without a complete message before all others, or null. */
    fun toFreeMemory(inputs: Collection<PeerInput>): PeerInput? =
        inputs.filter { it.bytes > 0 }.minWithOrNull(compareBy({ it.hasDelivered }, { it.since }))

    /**
     * Returns the oldest of the connections without a complete message, else the one that is silent for longest of a host that has
     * several, else null.
     */
    fun toFreeConnection(inputs: Collection<PeerInput>): PeerInput? {
        inputs.filterNot { it.hasDelivered }.minByOrNull { it.since }?.let { return it }
        return inputs
            .groupBy { it.host }
            .values
            .filter { it.size > 1 }
            .maxByOrNull { it.size }
            ?.minByOrNull { it.since }
    }
}
