package io.monsoonpath.policy.fairness

import io.monsoonpath.policy.choice.PoolView
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ceil

/**
 * Limits the requests that one instance runs concurrently on a pool, so that requests wait in the fair queue and not on the servers.
 *
 * The limit is never below the instance's equal share of the pool's capacity (the floor). Beyond the floor, the instance may borrow
 * capacity that the load reports show as unused by other instances (work conservation). Thread-safe.
 */
class PoolWindow {
    private val limit = AtomicInteger(1)
    private val running = AtomicInteger()

    /** The maximum number of requests that may run concurrently. */
    val currentLimit: Int get() = limit.get()

    /** The number of running requests. */
    val runningCount: Int get() = running.get()

    /**
     * Recomputes the limit from the latest view of the pool.
     *
     * @param instances the number of instances that share the pool
     * @param borrow whether this instance may use capacity that the others leave unused
     */
    fun update(
        pool: PoolView,
        instances: Int,
        nowMs: Long,
        borrow: Boolean = true,
    ) = limit.set(windowLimit(pool, instances, nowMs, borrow))

    /** Acquires a slot and returns true, or returns false if the limit is reached. */
    fun tryAcquire(): Boolean {
        while (true) {
            val current = running.get()
            if (current >= limit.get()) return false
            if (running.compareAndSet(current, current + 1)) return true
        }
    }

    /** Releases a slot that [tryAcquire] acquired. */
    fun release() {
        running.decrementAndGet()
    }
}

/** Returns the larger of the floor and, if [borrow] is set, the running requests plus a part of the unused capacity; at least 1. */
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

/** The floors of all instances add up to more than the pool's capacity, because not all instances use theirs at the same time. */
private const val OVERCOMMIT_FACTOR = 1.25

/** An instance borrows the unused capacity divided by this number at a time: reports lag, and other instances borrow too. */
private const val BORROW_DIVISOR = 3.0
