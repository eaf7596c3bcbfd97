package io.monsoonpath.gateway.request

import io.monsoonpath.gateway.choice.SelectedBackend
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.stream.RunCopy

/**
 * The copy that another engine keeps of the run of a request, and the continuation of the run from it.
 *
 * It is the same run, so a request that must not be repeated may continue. It continues once, and only after an event was relayed: before
 * the first one, it is not known whether the run has begun. The engine before must have ended or be out of reach: an engine that has only
 * lost the answer works on, and both would run the request.
 */
internal class RunContinuation(
    private val context: RequestContext,
    private val services: RequestServices,
) {
    private val copies = services.crashes.copies
    private var copy: RunCopy? = null
    private var source: BackendServer? = null

    /** Whether the run continues, or has tried to. */
    var isStarted = false
        private set

    /** Returns the part of a copy in an attempt on [server]: it continues the run, or an engine is selected for a copy of it, if any. */
    fun copyFor(server: BackendServer): AttemptCopy {
        if (isStarted) return AttemptCopy(copyHost = null, isContinuation = true)
        copy?.let(copies::release)
        copy = copies.reserve(context, server)
        source = server
        return AttemptCopy(copy?.host?.address, isContinuation = false)
    }

    /**
     * Calls [onDecided] with the engine on which the stream in [relay] continues after the loss of its connection, or null if it cannot
     * continue: at once, or as soon as the fate of its engine is known.
     *
     * @param silentMs how long nothing had been received when the connection was lost
     */
    fun start(
        relay: ResponseRelay,
        lastEvent: String?,
        silentMs: Long,
        onDecided: (SelectedBackend?) -> Unit,
    ) {
        copies.recordLoss(context.pool)
        val lost = source
        if (lost == null || !isPossible(relay)) return onDecided(null)
        services.crashes.fates.find(lost, silentMs) { fate ->
            if (!fate.isOutOfReach) services.metrics.copyDecided(context.pool.value, "source-runs")
            onDecided(if (fate.isOutOfReach) continueOrNull(relay, lastEvent) else null)
        }
    }

    private fun isPossible(relay: ResponseRelay): Boolean {
        val kept = copy ?: return false
        val hasTime = services.clock.nowMs() < context.deadlineAtMs - RequestRun.MIN_REMAINING_MS
        val isUsable = !isStarted && relay.hasStarted && relay.canContinue && hasTime && copies.canContinue(kept)
        return isUsable && services.crashes.quarantine.check(context.head.sharedPartIds) == null
    }

    private fun continueOrNull(
        relay: ResponseRelay,
        lastEvent: String?,
    ): SelectedBackend? {
        val kept = copy ?: return null
        val budget = services.retries.budgets.of(context.pool)
        if (!isPossible(relay) || !budget.tryAcquire()) return null
        isStarted = true
        relay.discard()
        val nowMs = services.clock.nowMs()
        services.selector.gate.recordSelected(kept.host, nowMs)
        services.log.line("copy.continued", "request" to context.head.id, "copyHost" to kept.host.id, "lastEvent" to lastEvent)
        return SelectedBackend(kept.host, services.loads.of(kept.host), "copy of the run", nowMs)
    }

    /** Releases the copy of the run: at once if the run is complete, else when the engine has discarded it. */
    fun release(isComplete: Boolean) {
        val kept = copy ?: return
        copy = null
        if (isStarted) services.metrics.copyDecided(context.pool.value, if (isComplete) "continued" else "not-continued")
        val engine = context.table.poolOf(context.pool)?.engine
        if (isComplete) copies.release(kept) else services.scheduler.schedule(engine?.copyTtlMs ?: 0) { copies.release(kept) }
    }
}
