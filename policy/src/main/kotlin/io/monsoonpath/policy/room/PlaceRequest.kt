package io.monsoonpath.policy.room

import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.fairness.QueuedRequest

/**
 * A request that needs a place in a pool: the right to run there, among the concurrent requests of this instance.
 *
 * @property rank the rank of the request; 0 is the most urgent
 * @property work the expected work relative to other requests of the pool
 * @property latestStartMs the latest start at which the request can be on time
 * @property claimKey identifies a repetition of the request by its caller, see [PoolAdmission]
 * @property payload the object that the user of [PoolAdmission] attached
 */
class PlaceRequest<T>(
    val workspace: WorkspaceId,
    val rank: Int,
    val work: Double,
    val latestStartMs: Long,
    val claimKey: Int,
    val payload: T,
) {
    internal var queued: QueuedRequest<PlaceRequest<T>>? = null
    internal var arrivedAtMs = 0L
    internal var startedAtMs: Long? = null

    /** Whether the request holds a place. */
    val isRunning: Boolean get() = startedAtMs != null

    /** Whether the request waits for a place. */
    val isWaiting: Boolean get() = queued != null
}

/**
 * What an instance knows of the capacity of a pool.
 *
 * @property share the number of concurrent requests that this instance may run
 * @property capacity the number of concurrent requests of the pool in all
 * @property reportedFree the free slots of the pool by the latest reports of its servers; 0 if few are free or requests wait there, or
 *   null without a recent report
 * @property runningAtReport the number of requests of this instance that ran when the latest report arrived
 * @property spread how far the shares of all instances exceed the capacity, see [CapacitySplit]; 1.0 if they do not
 * @property reportAgeMs the age of the latest report of a server, or null if there was none
 */
data class PoolRoom(
    val share: Int,
    val capacity: Int,
    val reportedFree: Int?,
    val runningAtReport: Int,
    val spread: Double = 1.0,
    val reportAgeMs: Long? = null,
) {
    /**
     * The number of requests that this instance may run at the same time: its share, or more while the pool is not fully used, so that no
     * request is refused while slots are free.
     */
    val limit: Int =
        when {
            reportedFree == null -> share + capacity / UNKNOWN_DIVISOR
            reportedFree > 0 -> maxOf(share, runningAtReport + (reportedFree + 1) / FREE_DIVISOR)
            else -> share
        }.coerceIn(1, maxOf(1, share, capacity))

    private companion object {
        /** Other instances see the same free slots at the same time. */
        const val FREE_DIVISOR = 2

        /** Without a recent report nobody has sent requests, so the pool is likely to be idle. */
        const val UNKNOWN_DIVISOR = 4
    }
}

/** Why a request starts. */
enum class PlaceReason {
    /** A place of the instance's share was free. */
    FREE,

    /** The share was used, but the reports of the servers left slots free. */
    BORROWED,

    /** The latest start was reached; it runs in addition to the share, which the small queues of the servers allow for. */
    DUE,
}

/** A decision of [PoolAdmission] on [request], [waitedMs] after its arrival. */
sealed interface PlaceDecision<T> {
    val request: PlaceRequest<T>
    val waitedMs: Long

    /** The request holds a place and starts now. */
    class Start<T>(
        override val request: PlaceRequest<T>,
        override val waitedMs: Long,
        val reason: PlaceReason,
    ) : PlaceDecision<T>

    /**
     * The request cannot start in time.
     *
     * @property expectedWaitMs the time that it would have had to wait
     * @property retryAfterMs the time by which that exceeds what it can wait
     */
    class Refuse<T>(
        override val request: PlaceRequest<T>,
        override val waitedMs: Long,
        val expectedWaitMs: Long,
        val retryAfterMs: Long,
    ) : PlaceDecision<T>
}
