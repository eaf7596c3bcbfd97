package io.monsoonpath.app.load

import io.monsoonpath.model.Refusal
import io.monsoonpath.model.RefusalReason
import org.HdrHistogram.Histogram
import java.util.concurrent.ConcurrentHashMap

/** How one request of a load ended. */
internal sealed interface LoadOutcome {
    /** A whole answer came. */
    data object Answered : LoadOutcome

    /** A typed refusal came. */
    data class Refused(
        val refusal: Refusal,
    ) : LoadOutcome

    /** Nothing usable came: no connection, a cut answer, or bytes that are neither answer nor refusal. */
    data class Failed(
        val cause: String,
    ) : LoadOutcome
}

/** What became of the requests of one flow; safe for use by several threads. */
internal class FlowResults {
    private val latencies = Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
    private val refusals = sortedMapOf<String, Long>()
    private val failures = sortedMapOf<String, Long>()
    private var answeredInTime = 0L
    private var refusedWithinRate = 0L
    private var sent = 0L

    /** Notes one end, [latencyMs] after the request's planned arrival. */
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

    /** Returns what has been noted so far. */
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
 * The results of one flow.
 *
 * @property answeredInTime whole answers within the deadline, counted from the planned arrival
 * @property refusedWithinRate refusals for any reason but the workspace's rate
 * @property latencies the latencies of whole answers in milliseconds
 * @property refusals the refusals by reason and by whether the request can have run
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
    /** The share of all sent requests that were answered whole and in time, from 0 to 1. */
    val attainment: Double get() = if (sent == 0L) 1.0 else answeredInTime.toDouble() / sent
}

/** The results of all flows by name. */
internal class LoadResults(
    plan: LoadPlan,
) {
    private val flows = plan.flows.associateTo(ConcurrentHashMap()) { it.name to FlowResults() }
    private val names = plan.flows.map { it.name }

    /** Returns the results of the flow [name]. */
    fun forFlow(name: String): FlowResults = flows.getValue(name)

    /** Returns what has been noted so far, in the plan's order. */
    fun summaries(): List<FlowSummary> = names.map { forFlow(it).summary(it) }
}
