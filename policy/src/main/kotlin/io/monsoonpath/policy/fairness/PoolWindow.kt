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
    val limitNow: Int get() = limit.get()

    /** The requests that are running. */
    val runningNow: Int get() = running.get()

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
    fun tryStart(): Boolean {
        while (true) {
            val now = running.get()
            if (now >= limit.get()) return false
            if (running.compareAndSet(now, now + 1)) return true
        }
    }

    /** Gives a place back. */
    fun ended() {
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
    var bearable = 0.0
    var load = 0.0
    var own = 0
    for (i in 0 until pool.size) {
        val backend = pool[i].backend
        if (backend.isEjected(nowMs)) continue
        bearable += backend.loadLimit
        load += minOf(backend.expectedLoad(nowMs, pool.meanUtilisation), backend.loadLimit.toDouble())
        own += backend.ownInFlight
    }
    val floor = ceil(OVERCOMMIT * bearable / instances)
    val borrowed = if (borrow) own + (bearable - load).coerceAtLeast(0.0) / BORROWERS else 0.0
    return maxOf(floor, borrowed).toInt().coerceAtLeast(1)
}

/** The floors add up to somewhat more than the pool bears, because not all instances use theirs at every moment. */
private const val OVERCOMMIT = 1.25

/** The part of the unused capacity that one instance takes at a time: reports lag, and others borrow too. */
private const val BORROWERS = 3.0
