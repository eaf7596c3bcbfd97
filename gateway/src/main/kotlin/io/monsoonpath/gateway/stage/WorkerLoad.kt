package io.monsoonpath.gateway.stage

/** The state of one worker as recorded by the batching instance: running calls, speed and stored results. */
internal class WorkerLoad {
    private class StoredResult(
        val bytes: Long,
        val untilMs: Long,
    )

    private var calls = 0
    private var reservedBytes = 0L
    private var pausedUntilMs = 0L
    private var hasOtherLoadUntilMs = Long.MIN_VALUE
    private val storedResults = LinkedHashMap<String, StoredResult>()

    /** The smoothed ratio of actual to expected call duration. */
    var slowness = 1.0
        private set

    /** The usable share of the worker's configured memory, adjusted by refusals because result sizes are approximate. */
    var usableMemoryShare = 1.0
        private set

    fun isFree(
        nowMs: Long,
        slots: Int,
    ): Boolean = calls < slots && nowMs >= pausedUntilMs

    /** Returns the memory of stored results that are neither released nor expired, in bytes. */
    fun storedBytes(nowMs: Long): Long {
        storedResults.values.removeIf { it.untilMs <= nowMs }
        return storedResults.values.sumOf { it.bytes }
    }

    /** Returns the memory of stored results and of those that the calls in progress will store, in bytes. */
    fun committedBytes(nowMs: Long): Long = storedBytes(nowMs) + reservedBytes

    /** Reserves [bytes] for the results of a call. */
    fun reserve(bytes: Long) {
        reservedBytes += bytes
    }

    /** Returns the [bytes] reserved for a call that has ended. */
    fun endReservation(bytes: Long) {
        reservedBytes -= bytes
    }

    fun recordStart() {
        calls++
    }

    fun recordEnd() {
        calls--
    }

    fun recordSlowness(ratio: Double) {
        slowness += SMOOTHING * (ratio - slowness)
    }

    /** Records whether the results of a call fitted into the expected memory. */
    fun recordFit(fitted: Boolean) {
        usableMemoryShare =
            if (fitted) {
                minOf(1.0, usableMemoryShare + MEMORY_SHARE_STEP_UP)
            } else {
                maxOf(
                    MIN_MEMORY_SHARE,
                    usableMemoryShare - MEMORY_SHARE_STEP_DOWN,
                )
            }
    }

    fun pauseUntil(untilMs: Long) {
        pausedUntilMs = untilMs
    }

    /** Records that the worker stores results or processes calls of which this instance does not know, probably until [untilMs]. */
    fun recordOtherLoad(untilMs: Long) {
        hasOtherLoadUntilMs = untilMs
    }

    /** Returns whether the worker may have to refuse calls because of load of which this instance does not know. */
    fun hasOtherLoad(nowMs: Long): Boolean = nowMs < hasOtherLoadUntilMs

    fun addResult(
        handle: String,
        bytes: Long,
        untilMs: Long,
    ) {
        storedResults[handle] = StoredResult(bytes, untilMs)
    }

    fun removeResult(handle: String) {
        storedResults.remove(handle)
    }

    private companion object {
        /** The weight of the newest call; three calls are enough to detect a worker that became slow. */
        const val SMOOTHING = 0.4

        /** After a refusal, the share takes ten calls, about four seconds, to recover. */
        const val MEMORY_SHARE_STEP_DOWN = 0.05
        const val MEMORY_SHARE_STEP_UP = 0.005
        const val MIN_MEMORY_SHARE = 0.5
    }
}
