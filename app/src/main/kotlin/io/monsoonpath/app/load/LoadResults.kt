package io.monsoonpath.app.load

import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap

/** Represents the outcome of one request of a load. */
internal sealed interface LoadOutcome {
    /** A complete answer was received. */
    data object Answered : LoadOutcome

    /** A refusal document was received. */
    data class Refused(
        val refusal: Refusal,
    ) : LoadOutcome

    /** No usable response was received: the connection failed, the answer was truncated, or it was neither an answer nor a refusal. */
    data class Failed(
        val cause: String,
    ) : LoadOutcome
}

/** Collects the outcomes of the requests of one flow. This class is thread-safe. */
internal class FlowResults {
    private val latencies = Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    private val refusals = sortedMapOf<String, Long>()
    private val failures = sortedMapOf<String, Long>()
    private var answeredInTime = 0L
    private var refusedWithinRate = 0L
    private var sent = 0L

    /** Records the outcome of one request that ended [latencyMs] milliseconds after its planned arrival. */
    fun record(
        outcome: LoadOutcome,
        latencyMs: Long,
        deadlineMs: Long,
    ): Unit =
        synchronized(this) {
            sent++
            when (outcome) {
                is LoadOutcome.Answered -> {
                    latencies.recordValue(latencyMs.coerceIn(0, MAX_LATENCY_MS))
                    if (latencyMs <= deadlineMs) answeredInTime++
                }
                is LoadOutcome.Refused -> {
                    refusals.merge("${outcome.refusal.reason.name} ${outcome.refusal.ran.name}", 1, Long::plus)
                    if (outcome.refusal.reason != RefusalReason.RATE_LIMITED) refusedWithinRate++
                }
                is LoadOutcome.Failed -> failures.merge(outcome.cause, 1, Long::plus)
            }
        }

    /** Returns a snapshot of the results recorded so far, under the flow name [name]. */
    fun summary(name: String): FlowSummary =
        synchronized(this) {
            FlowSummary(name, sent, answeredInTime, refusedWithinRate, latencies.copy(), refusals.toMap(), failures.toMap())
        }

    private companion object {
        const val MAX_LATENCY_MS = 3_600_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}

/**
 * Represents the results of one flow.
 *
 * @property answeredInTime the number of complete answers within the deadline, measured from the planned arrival
 * @property refusedWithinRate the number of refusals for any reason other than the rate limit of the workspace
 * @property latencies the latencies of complete answers, in milliseconds
 * @property refusals the number of refusals by reason and by whether the request may have been executed
 */
internal class FlowSummary(
    val name: String,
    val sent: Long,
    val answeredInTime: Long,
    val refusedWithinRate: Long,
    val latencies: Histogram,
    val refusals: Map<String, Long>,
    val failures: Map<String, Long>,
) {
    /** The fraction of sent requests that were answered completely and within the deadline, from 0 to 1; 1 if none was sent. */
    val attainment: Double get() = if (sent == 0L) 1.0 else answeredInTime.toDouble() / sent
}

/** Holds the results of all flows by name. */
internal class LoadResults(
    plan: LoadPlan,
) {
    private val flows = plan.flows.associateTo(ConcurrentHashMap()) { it.name to FlowResults() }
    private val names = plan.flows.map { it.name }

    /** Returns the results of the flow [name]. */
    fun forFlow(name: String): FlowResults = flows.getValue(name)

    /** Returns a snapshot of the results of each flow, in the order of the plan. */
    fun summaries(): List<FlowSummary> = names.map { forFlow(it).summary(it) }
}
