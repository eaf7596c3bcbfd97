package io.monsoonpath.soak

import kotlin.random.Random

/** Something that is done to the deployment from outside. */
sealed interface Fault {
    /** The instance with this number is killed, and started again after [downMs]. */
    data class Kill(
        val instance: Int,
        val downMs: Long,
    ) : Fault

    /** It stands still for [durationMs]. */
    data class Pause(
        val instance: Int,
        val durationMs: Long,
    ) : Fault

    /** It is stopped as planned and started again. */
    data class Stop(
        val instance: Int,
    ) : Fault

    /** Its settings file changes. */
    data class Reload(
        val instance: Int,
    ) : Fault

    /** Its connections to the store are treated as [mode] says for [durationMs]. */
    data class StoreConnection(
        val instance: Int,
        val mode: ProxyMode,
        val durationMs: Long,
    ) : Fault

    /** Connections to a worker are treated as [mode] says for [durationMs]. */
    data class WorkerConnection(
        val worker: Int,
        val mode: ProxyMode,
        val durationMs: Long,
    ) : Fault

    /** All connections to a worker are reset. */
    data class ResetWorkerConnections(
        val worker: Int,
    ) : Fault

    /** A worker is added, and the oldest drains and leaves. */
    data object ReplaceWorker : Fault

    /** A key is withdrawn. */
    data object WithdrawKey : Fault

    /** The store forgets its history. */
    data object CompactStore : Fault
}

/** A fault that begins [atMs] after the start of traffic. */
data class ScheduledFault(
    val atMs: Long,
    val fault: Fault,
)

/** The faults of one seed, and what they excuse. */
class FaultSchedule(
    seed: Long,
    private val instances: Int,
    private val workers: Int,
) {
    private val random = Random(seed)

    /** In the order in which they begin; they overlap. */
    val faults: List<ScheduledFault> =
        List(FAULT_COUNT) {
            ScheduledFault(random.nextLong(FAULT_WINDOW_MS), randomFault())
        }.sortedBy { it.atMs }

    /** When the last fault has ended. */
    val lastFaultEndMs: Long get() = (faultSpans.map { it.last } + FAULT_WINDOW_MS).max()

    /** The spans in which something other than planned work is wrong. */
    private val faultSpans: List<LongRange> = faults.mapNotNull { spanOfFault(it) }
    private val withdrawals = ArrayList<Long>()
    private val departures = HashMap<String, Long>()

    /** Notes when the key was withdrawn. */
    @Synchronized
    fun recordWithdrawal(atMs: Long) {
        withdrawals += atMs
    }

    /** Notes when the worker called [id] was known to leave. */
    @Synchronized
    fun recordDeparture(
        id: String,
        atMs: Long,
    ) {
        departures[id] = atMs
    }

    /** Whether the key of [request] may have been withdrawn when it was handled. */
    @Synchronized
    fun mayBeDenied(request: CompletedRequest) = request.key == WITHDRAWN_KEY && withdrawals.any { it <= request.endedAtMs }

    /** Whether the key of [request] had been withdrawn for so long that every instance must know. */
    @Synchronized
    fun mustBeDenied(request: CompletedRequest) =
        request.key == WITHDRAWN_KEY &&
            withdrawals.any { it + PROPAGATION_MS < request.sentAtMs } &&
            isFaultFree(request.sentAtMs - PROPAGATION_MS, request.endedAtMs)

    /** Whether [execution] reached a worker that had left for so long that every instance must know. */
    @Synchronized
    fun ranAfterDeparture(execution: Execution): Boolean {
        val atMs = departures[execution.worker] ?: return false
        return atMs + PROPAGATION_MS < execution.atMs && isFaultFree(execution.atMs - PROPAGATION_MS, execution.atMs)
    }

    /** Whether nothing but planned work was going on around [request]. */
    fun isUndisturbed(request: CompletedRequest) = isFaultFree(request.sentAtMs, request.endedAtMs)

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

    private fun randomInstance() = random.nextInt(instances)

    /** Sizes, times and keys. */
    companion object {
        const val PERMANENT_KEY = "lasting"
        const val WITHDRAWN_KEY = "withdrawn"
        private const val FAULT_COUNT = 10
        private const val FAULT_KIND_SLOTS = 12

        /** Faults begin within this time. */
        private const val FAULT_WINDOW_MS = 9_000L

        /** What the store holds is in force after two seconds; the rest is for a busy machine. */
        private const val PROPAGATION_MS = 5_000L

        /** For so long after a fault its traces excuse what they did. */
        private const val SETTLE_MS = 3_500L

        /** What a process needs to start on a busy machine. */
        private const val PROCESS_START_MS = 3_000L
    }
}
