package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.model.WorkspaceSpec
import java.util.concurrent.ConcurrentHashMap

/** Limits the rate of workspaces on a single instance, with a token bucket per workspace that counts millionths of a request. */
internal class LocalRateLimiter(
    private val clock: ClockMs,
) : RateLimiter {
    private class Bucket(
        var levelMicro: Long,
        var atMs: Long,
    )

    private val buckets = ConcurrentHashMap<WorkspaceId, Bucket>()

    override suspend fun acquire(
        workspace: WorkspaceSpec,
        deadlineAtMs: Long,
    ): Outcome<RateToken> {
        val bucket = bucketOf(workspace)
        val missingMicro = synchronized(bucket) { bucket.take(workspace, clock.nowMs()) }
        if (missingMicro == 0L) return Outcome.Ok(RateToken { refund(workspace) })
        val retryAfterMs = missingMicro / workspace.rateMilliPerS + 1
        return refused(RefusalReason.RATE_LIMITED, Step.RATE, "the workspace is above its rate", retryAfterMs)
    }

    private fun refund(workspace: WorkspaceSpec) {
        val bucket = bucketOf(workspace)
        synchronized(bucket) { bucket.levelMicro = minOf(capacityMicro(workspace), bucket.levelMicro + MICRO) }
    }

    private fun bucketOf(workspace: WorkspaceSpec): Bucket =
        buckets[workspace.id] ?: buckets.computeIfAbsent(workspace.id) { Bucket(capacityMicro(workspace), clock.nowMs()) }

    /** Takes one request from the bucket. Returns 0 if it was taken, or the missing amount in millionths of a request. */
    private fun Bucket.take(
        workspace: WorkspaceSpec,
        nowMs: Long,
    ): Long {
        val refillMicro = Math.multiplyExact(nowMs - atMs, workspace.rateMilliPerS)
        levelMicro = minOf(capacityMicro(workspace), levelMicro + refillMicro)
        atMs = nowMs
        if (levelMicro < MICRO) return MICRO - levelMicro
        levelMicro -= MICRO
        return 0
    }

    private fun capacityMicro(workspace: WorkspaceSpec) = workspace.burst * MICRO

    private companion object {
        const val MICRO = 1_000_000L
    }
}
