package io.monsoonpath.soak

import kotlin.random.Random

/** A fault or a planned operation that the soak injects from outside the processes. Instances and workers are given by index. */
sealed interface Fault {
    /** Kills the instance and starts it again after [downMs] milliseconds. */
    data class Kill(
        val instance: Int,
        val downMs: Long,
    ) : Fault

    /** Suspends the process of the instance for [durationMs] milliseconds. */
    data class Pause(
        val instance: Int,
        val durationMs: Long,
    ) : Fault

    /** Stops the instance gracefully and starts it again. */
    data class Stop(
        val instance: Int,
    ) : Fault

    /** Changes the settings file of the instance and makes the instance reload the file. */
    data class Reload(
        val instance: Int,
    ) : Fault

    /** Applies [mode] to the connections between the instance and the store for [durationMs] milliseconds. */
    data class StoreConnection(
        val instance: Int,
        val mode: ProxyMode,
        val durationMs: Long,
    ) : Fault

    /** Applies [mode] to the connections to a worker for [durationMs] milliseconds. */
    data class WorkerConnection(
        val worker: Int,
        val mode: ProxyMode,
        val durationMs: Long,
    ) : Fault

    /** Resets all connections to a worker. */
    data class ResetWorkerConnections(
        val worker: Int,
    ) : Fault

    /** Adds a worker, drains the oldest worker and then removes it from the store. */
    data object ReplaceWorker : Fault

    /** Withdraws the API key [FaultSchedule.WITHDRAWN_KEY]. */
    data object WithdrawKey : Fault

    /** Compacts the store, which discards its history of changes. */
    data object CompactStore : Fault

    /** Takes the store away for [awayMs] milliseconds and lets it come back from a copy made [ageMs] milliseconds before. */
    data class RestoreStore(
        val ageMs: Long,
        val awayMs: Long,
    ) : Fault
}

/** A fault that begins [atMs] milliseconds after the start of the traffic. */
data class ScheduledFault(
    val atMs: Long,
    val fault: Fault,
)

/**
 * The faults that follow from [seed], and the exceptions to the guarantees that they justify.
 *
 * Times are in milliseconds since the start of the traffic.
 */
class FaultSchedule(
    seed: Long,
    private val instances: Int,
    private val workers: Int,
) {
    private val random = Random(seed)

    /** The faults, ordered by their start. They may overlap. */
    val faults: List<ScheduledFault> =
        (List(FAULT_COUNT) { ScheduledFault(random.nextLong(FAULT_WINDOW_MS), randomFault()) } + restoration(Random(seed)))
            .sortedBy { it.atMs }

    /** The time at which the last fault has ended. */
    val lastFaultEndMs: Long get() = (faultSpans.map { it.last } + FAULT_WINDOW_MS).max()

    /** The time spans of the faults, without the planned operations. */
    private val faultSpans: List<LongRange> = faults.mapNotNull { spanOfFault(it) }
    private val withdrawals = ArrayList<Long>()
    private val departures = HashMap<String, Long>()

    /** Records that [WITHDRAWN_KEY] was withdrawn at [atMs]. */
    @Synchronized
    fun recordWithdrawal(atMs: Long) {
        withdrawals += atMs
    }

    /** Records that the worker with [id] was marked as draining in the store at [atMs]. */
    @Synchronized
    fun recordDeparture(
        id: String,
        atMs: Long,
    ) {
        departures[id] = atMs
    }

    /** Returns whether the key of [request] may have been withdrawn by the time the request was handled. */
    @Synchronized
    fun mayBeDenied(request: CompletedRequest) = request.key == WITHDRAWN_KEY && withdrawals.any { it <= request.endedAtMs }

    /** Returns whether the key of [request] was withdrawn long enough before it that every instance must have applied the change. */
    @Synchronized
    fun mustBeDenied(request: CompletedRequest) =
        request.key == WITHDRAWN_KEY &&
            withdrawals.any { it + PROPAGATION_MS < request.sentAtMs } &&
            isFaultFree(request.sentAtMs - PROPAGATION_MS, request.endedAtMs)

    /** Returns whether [execution] ran on a worker that was draining for so long that every instance must have applied the change. */
    @Synchronized
    fun ranAfterDeparture(execution: Execution): Boolean {
        val atMs = departures[execution.worker] ?: return false
        return atMs + PROPAGATION_MS < execution.atMs && isFaultFree(execution.atMs - PROPAGATION_MS, execution.atMs)
    }

    /** Returns whether no fault other than planned operations was active, or recently active, while [request] was in flight. */
    fun isUndisturbed(request: CompletedRequest) = isFaultFree(request.sentAtMs, request.endedAtMs)

    /** Returns whether no fault other than planned operations was active in the [durationMs] milliseconds before [atMs]. */
    fun isCalmBefore(
        atMs: Long,
        durationMs: Long,
    ) = faultSpans.none { it.first <= atMs && it.last >= atMs - durationMs }

    private fun isFaultFree(
        fromMs: Long,
        toMs: Long,
    ) = faultSpans.none { it.first <= toMs && it.last + SETTLE_MS >= fromMs }

    private fun spanOfFault(scheduled: ScheduledFault): LongRange? {
        val lengthMs =
            when (val fault = scheduled.fault) {
                is Fault.Kill -> fault.downMs + PROCESS_START_MS
                is Fault.Pause -> fault.durationMs
                is Fault.StoreConnection -> fault.durationMs
                is Fault.WorkerConnection -> fault.durationMs
                is Fault.ResetWorkerConnections -> 0
                is Fault.RestoreStore -> fault.awayMs + REWRITE_MS
                is Fault.Stop, is Fault.Reload, Fault.ReplaceWorker, Fault.WithdrawKey, Fault.CompactStore -> return null
            }
        return scheduled.atMs..scheduled.atMs + lengthMs
    }

    private fun randomFault(): Fault =
        when (random.nextInt(FAULT_KIND_SLOTS)) {
            0 -> Fault.Kill(randomInstance(), random.nextLong(200, 1_500))
            1 -> Fault.Pause(randomInstance(), random.nextLong(500, 4_000))
            2, 3 -> Fault.Stop(randomInstance())
            4 -> Fault.Reload(randomInstance())
            5, 6 -> Fault.StoreConnection(randomInstance(), ProxyMode.entries.random(random), random.nextLong(500, 5_000))
            7 -> Fault.WorkerConnection(random.nextInt(workers), ProxyMode.entries.random(random), random.nextLong(300, 3_000))
            8 -> Fault.ResetWorkerConnections(random.nextInt(workers))
            9 -> Fault.ReplaceWorker
            10 -> Fault.WithdrawKey
            else -> Fault.CompactStore
        }

    private fun restoration(random: Random): ScheduledFault {
        val ageMs = random.nextLong(500, MAX_COPY_AGE_MS)
        return ScheduledFault(random.nextLong(ageMs, FAULT_WINDOW_MS), Fault.RestoreStore(ageMs, random.nextLong(200, 1_500)))
    }

    private fun randomInstance() = random.nextInt(instances)

    /** The API keys of the callers, the number of faults and their time spans. */
    companion object {
        const val PERMANENT_KEY = "lasting"
        const val WITHDRAWN_KEY = "withdrawn"

        /** How long an instance must have been undisturbed to be bound by what the others have learned, in milliseconds. */
        const val IN_TOUCH_MS = 3_000L

        /** The time within which workers and operators write again what the store has lost, in milliseconds. */
        const val REWRITE_MS = 1_900L
        private const val MAX_COPY_AGE_MS = 5_000L
        private const val FAULT_COUNT = 10
        private const val FAULT_KIND_SLOTS = 12

        /** The time after the start of the traffic within which all faults begin, in milliseconds. */
        private const val FAULT_WINDOW_MS = 9_000L

        /** The time in milliseconds until a change in the store is in force: two seconds, and a margin for a busy machine. */
        private const val PROPAGATION_MS = 5_000L

        /** The time in milliseconds after the end of a fault during which its after-effects still justify exceptions. */
        private const val SETTLE_MS = 3_500L

        /** The time in milliseconds that a process needs to start on a busy machine. */
        private const val PROCESS_START_MS = 3_000L
    }
}
