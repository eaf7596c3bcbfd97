package io.monsoonpath.gateway

import io.monsoonpath.gateway.log.DecisionLog
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Schedules actions on the event loop. */
interface Scheduler {
    /** Runs [action] once, after [delayMs] milliseconds. */
    fun schedule(
        delayMs: Long,
        action: () -> Unit,
    )

    /** Runs [action] repeatedly, starting now, with [intervalMs] milliseconds between the end of a run and the start of the next. */
    fun scheduleRepeatedly(
        intervalMs: Long,
        action: () -> Unit,
    )
}

/** Schedules actions on [loop]. An action that throws is logged; a repeated one continues to be scheduled. */
class EventLoopScheduler(
    private val loop: EventLoop,
    private val log: DecisionLog,
) : Scheduler {
    override fun schedule(
        delayMs: Long,
        action: () -> Unit,
    ) {
        loop.schedule({ runAndLogFailure(action) }, delayMs.coerceAtLeast(0), TimeUnit.MILLISECONDS)
    }

    override fun scheduleRepeatedly(
        intervalMs: Long,
        action: () -> Unit,
    ) {
        loop.scheduleWithFixedDelay({ runAndLogFailure(action) }, 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    private fun runAndLogFailure(action: () -> Unit) {
        try {
            action()
        } catch (e: Throwable) {
            // Errors, too: a StackOverflowError over one message must not end the rounds of gossip or the watch of the store.
            log.failure("scheduled action", e)
        }
    }
}
