package io.monsoonpath.app.request

import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Limits the number of running requests of a single instance. Requests above the limit are refused without being queued. */
internal class LocalFairQueue(
    private val maxRunning: Int,
) : FairQueue {
    private val running = AtomicInteger()
    private val runningByWorkspace = ConcurrentHashMap<WorkspaceId, AtomicInteger>()

    override suspend fun acquire(exchange: Exchange): Outcome<ExecutionSlot> {
        if (!running.tryIncrement(maxRunning)) {
            return refused(RefusalReason.OVERLOADED, Step.QUEUE, "$maxRunning requests are running", RETRY_AFTER_MS)
        }
        val workspace = exchange.workspace
        val limit = workspace?.maxRunning ?: return Outcome.Ok(ExecutionSlot { running.decrementAndGet() })
        return acquire(workspace, limit)
    }

    private fun acquire(
        workspace: WorkspaceSpec,
        limit: Int,
    ): Outcome<ExecutionSlot> {
        val count = runningByWorkspace.computeIfAbsent(workspace.id) { AtomicInteger() }
        if (!count.tryIncrement(limit)) {
            running.decrementAndGet()
            val detail = "$limit requests of the workspace are running"
            return refused(RefusalReason.CONCURRENCY_LIMITED, Step.QUEUE, detail, RETRY_AFTER_MS)
        }
        return Outcome.Ok(
            ExecutionSlot {
                count.decrementAndGet()
                running.decrementAndGet()
            },
        )
    }

    private companion object {
        const val RETRY_AFTER_MS = 200L
    }
}

/** Increments the value unless the result would exceed [limit], and returns whether it was incremented. */
internal fun AtomicInteger.tryIncrement(limit: Int): Boolean {
    if (incrementAndGet() <= limit) return true
    decrementAndGet()
    return false
}
