package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import io.monsoonpath.model.WorkspaceId
import java.util.concurrent.ConcurrentHashMap

/** Claims request ids on a single instance and remembers each claim for its time-to-live. */
internal class LocalClaimSource(
    private val clock: ClockMs,
) : ClaimSource {
    private class Entry(
        val expiresAtMs: Long,
        @Volatile var finished: Boolean = false,
    )

    private val entries = ConcurrentHashMap<Pair<WorkspaceId?, RequestId>, Entry>()

    @Volatile
    private var nextSweepAtMs = Long.MIN_VALUE

    override suspend fun claim(
        workspace: WorkspaceId?,
        request: RequestId,
        maxDurationMs: Long,
    ): Outcome<Claim> {
        val nowMs = clock.nowMs()
        sweep(nowMs)
        val entry = Entry(nowMs + CLAIM_TTL_MS)
        val key = workspace to request
        val existing = entries.putIfAbsent(key, entry)
        return when {
            existing == null -> Outcome.Ok(claimOf(key, entry))
            existing.finished -> duplicate(RefusalReason.DUPLICATE_FINISHED, "this request id has run before")
            else -> duplicate(RefusalReason.DUPLICATE_RUNNING, "this request id is running")
        }
    }

    private fun duplicate(
        reason: RefusalReason,
        detail: String,
    ) = refused(reason, Step.CLAIM, detail, ran = ExecutionStatus.UNKNOWN)

    private fun claimOf(
        key: Pair<WorkspaceId?, RequestId>,
        entry: Entry,
    ) = Claim { ran, _ ->
        entry.finished = true
        if (!ran) entries.remove(key, entry)
    }

    private fun sweep(nowMs: Long) {
        if (nowMs < nextSweepAtMs) return
        nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS
        entries.values.removeIf { it.finished && it.expiresAtMs < nowMs }
    }

    private companion object {
        const val SWEEP_INTERVAL_MS = 1_000L
        const val CLAIM_TTL_MS = 600_000L
    }
}
