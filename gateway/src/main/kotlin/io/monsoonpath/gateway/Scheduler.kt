package io.monsoonpath.gateway

import io.monsoonpath.gateway.log.DecisionLog
import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Runs actions later on the event loop. */
interface Scheduler {
    /** Runs [action] after [delayMs] milliseconds. */
    fun schedule(
        delayMs: Long,
        action: () -> Unit,
    )

    /** Runs [action] every [intervalMs] milliseconds. */
    fun scheduleRepeatedly(
        intervalMs: Long,
        action: () -> Unit,
    )
}

/** Runs actions on [loop]; one that fails is logged, and its repetition goes on. */
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
        } catch (e: RuntimeException) {
            log.failure("scheduled action", e)
        }
    }
}
