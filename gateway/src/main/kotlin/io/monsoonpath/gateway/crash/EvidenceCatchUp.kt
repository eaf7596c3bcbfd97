package io.monsoonpath.gateway.crash

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs

/**
 * Holds requests back while this process may lack evidence that the other instances have: after its start, and after a pause.
 *
 * The wait is short and bounded, because the others may be silent, or may have started at the same time. Must be used on the event loop
 * only.
 *
 * @param ask asks other instances for their evidence
 */
class EvidenceCatchUp(
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val log: DecisionLog,
    private val ask: () -> Unit,
) {
    private val waiting = ArrayList<() -> Unit>()
    private var endsAtMs = Long.MIN_VALUE

    /** When this process was last known to run, or null if there are no others to learn from. */
    private var lastAliveAtMs: Long? = null

    /** Whether this process has the evidence of the others, or has waited for it long enough. */
    var isComplete = true
        private set

    /** Starts to catch up, now and after each pause. An instance without others need not. */
    fun start() {
        val nowMs = clock.nowMs()
        isComplete = false
        lastAliveAtMs = nowMs
        endsAtMs = nowMs + LIMIT_MS
        askUntil(endsAtMs)
    }

    private fun askUntil(endAtMs: Long) {
        when {
            isComplete || endAtMs != endsAtMs -> Unit
            clock.nowMs() >= endAtMs -> complete(hasReply = false)
            else -> {
                ask()
                scheduler.schedule(ASK_INTERVAL_MS) { askUntil(endAtMs) }
            }
        }
    }

    /** Records that this process is running; starts to catch up if it was paused. Must be called about every half second. */
    fun recordAlive() {
        val previousMs = lastAliveAtMs ?: return
        val nowMs = clock.nowMs()
        if (nowMs - previousMs > PAUSE_MS) start()
        lastAliveAtMs = nowMs
    }

    /** Records that the evidence of another instance has arrived. */
    fun recordReply() {
        if (!isComplete) complete(hasReply = true)
    }

    private fun complete(hasReply: Boolean) {
        isComplete = true
        log.line("evidence.complete", "reply" to hasReply, "tookMs" to clock.nowMs() - (endsAtMs - LIMIT_MS), "held" to waiting.size)
        // Scheduled one by one, so that an action that fails does not end the others.
        waiting.forEach { scheduler.schedule(0, it) }
        waiting.clear()
    }

    /** Runs [action] as soon as [isComplete], which is at once if this process has neither started nor paused recently. */
    fun whenComplete(action: () -> Unit) {
        // A request may arrive at the end of a pause before any timer.
        recordAlive()
        if (isComplete) action() else waiting += action
    }

    private companion object {
        const val LIMIT_MS = 1_000L
        const val ASK_INTERVAL_MS = 50L

        /** Longer than a timer is late on a busy machine. */
        const val PAUSE_MS = 1_500L
    }
}
