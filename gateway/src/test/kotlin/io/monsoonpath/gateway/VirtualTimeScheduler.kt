package io.monsoonpath.gateway

import java.util.PriorityQueue

/** Runs actions in virtual time, in the order of their times. Those that are due during the pause [pausedMs] run at its end. */
class VirtualTimeScheduler(
    private val pausedMs: LongRange = LongRange.EMPTY,
) : Scheduler {
    private class Action(
        val atMs: Long,
        val order: Int,
        val run: () -> Unit,
    )

    private val actions = PriorityQueue<Action>(compareBy({ it.atMs }, { it.order }))
    private var nextOrder = 0

    /** The current time. Setting it runs nothing, as if all timers were late. */
    var nowMs = 0L

    override fun schedule(
        delayMs: Long,
        action: () -> Unit,
    ) {
        actions += Action(nowMs + delayMs, nextOrder++, action)
    }

    override fun scheduleRepeatedly(
        intervalMs: Long,
        action: () -> Unit,
    ) = error("repeated actions are not supported")

    /** Runs all actions that are due until [toMs]. */
    fun advance(toMs: Long) {
        while (true) {
            val next = actions.peek()?.takeIf { it.atMs <= toMs } ?: break
            actions.remove(next)
            nowMs = maxOf(nowMs, if (next.atMs in pausedMs) pausedMs.last else next.atMs)
            next.run()
        }
        nowMs = maxOf(nowMs, toMs)
    }
}
