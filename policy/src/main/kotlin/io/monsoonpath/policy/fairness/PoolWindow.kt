package io.monsoonpath.policy.fairness

import io.monsoonpath.policy.choice.PoolView
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ceil

/**
 * The most requests that one instance may have running on a pool, so that waiting happens in the fair queue and not on the servers.
 *
 * An instance is always allowed its equal part of what the pool bears (the floor), and beyond it what the reports show as unused
 * by the others (work conservation). Usable from several threads.
 */
class PoolWindow {
    private val limit = AtomicInteger(1)
    private val running = AtomicInteger()

    /** The most requests that may run. */
    val currentLimit: Int get() = limit.get()

    /** The requests that are running. */
    val runningCount: Int get() = running.get()

    /**
     * Sets the limit from the latest view of the pool; [instances] share it.
     *
     * @param borrow whether the instance may use what the others leave unused
     */
    fun update(
        pool: PoolView,
        instances: Int,
        nowMs: Long,
        borrow: Boolean = true,
    ) = limit.set(windowLimit(pool, instances, nowMs, borrow))

    /** Takes a place; returns whether one was free. */
    fun tryAcquire(): Boolean {
        while (true) {
            val current = running.get()
            if (current >= limit.get()) return false
            if (running.compareAndSet(current, current + 1)) return true
        }
    }

    /** Gives a place back. */
    fun release() {
        running.decrementAndGet()
    }
}

/** Returns the floor of an instance among [instances], or what it runs plus its part of what is unused, whichever is more. */
internal fun windowLimit(
    pool: PoolView,
    instances: Int,
    nowMs: Long,
    borrow: Boolean,
): Int {
    var capacity = 0.0
    var load = 0.0
    var ownInFlight = 0
    for (i in 0 until pool.size) {
        val backend = pool[i].backend
        if (backend.isEjected(nowMs)) continue
        capacity += backend.loadLimit
        load += minOf(backend.expectedLoad(nowMs, pool.meanUtilisation), backend.loadLimit.toDouble())
        ownInFlight += backend.ownInFlight
    }
    val floor = ceil(OVERCOMMIT_FACTOR * capacity / instances)
    val borrowed = if (borrow) ownInFlight + (capacity - load).coerceAtLeast(0.0) / BORROW_DIVISOR else 0.0
    return maxOf(floor, borrowed).toInt().coerceAtLeast(1)
}

/** The floors add up to somewhat more than the pool bears, because not all instances use theirs at every moment. */
private const val OVERCOMMIT_FACTOR = 1.25

/** The part of the unused capacity that one instance takes at a time: reports lag, and others borrow too. */
private const val BORROW_DIVISOR = 3.0
