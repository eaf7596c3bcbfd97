package io.monsoonpath.gateway.config

import io.monsoonpath.gateway.log.DecisionLog
import java.util.concurrent.atomic.AtomicReference

/** The configuration in force in this process; its revision never falls. */
class ConfigurationHolder(
    private val log: DecisionLog,
) {
    private val table = AtomicReference<RoutingTable?>(null)

    /** The table in force, or null before the first. */
    val current: RoutingTable? get() = table.get()

    /** Puts [next], read from [source], in force if it is newer than what is; returns whether it was. */
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
