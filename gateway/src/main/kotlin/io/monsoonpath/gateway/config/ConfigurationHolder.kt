package io.monsoonpath.gateway.config

import io.monsoonpath.gateway.log.DecisionLog
import java.util.concurrent.atomic.AtomicReference

/** Holds the current configuration of this process, whose revision never decreases. Thread-safe. */
class ConfigurationHolder(
    private val log: DecisionLog,
) {
    private val table = AtomicReference<RoutingTable?>(null)

    /** The current routing table, or null before the first was applied. */
    val current: RoutingTable? get() = table.get()

    /** Applies [next], read from [source], if it is newer than the current table; returns whether it was applied. */
    fun applyIfNewer(
        next: RoutingTable,
        source: String,
    ): Boolean {
        while (true) {
            val previous = table.get()
            if (previous != null && next.revision <= previous.revision) return false
            if (table.compareAndSet(previous, next)) break
        }
        log.line("config.applied", "version" to next.revision.value, "source" to source)
        return true
    }
}
