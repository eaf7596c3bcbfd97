package io.monsoonpath.soak

import java.util.concurrent.ConcurrentLinkedQueue

/** The time in milliseconds within which a leaving worker still receives requests. */
const val DRAIN_MS = 2_000L

/** The arrival of the request with [requestId] at [worker], [atMs] milliseconds after the start of the traffic. */
class Arrival(
    val worker: String,
    val requestId: String,
    val atMs: Long,
    /** The `Retry-After` of the refusal with status 503 that answered the request, in milliseconds, or null if there was none. */
    val waitMs: Long?,
)

/** When instances were restarted or suspended and links to workers were cut. Times are in milliseconds since the start of the traffic. */
class Disruptions {
    private class Span(
        val name: String,
        val timesMs: LongRange,
    )

    private val spans = ConcurrentLinkedQueue<Span>()

    /** Records that the instance or the link to the worker with [name] was disrupted from [fromMs] to [toMs]. */
    fun record(
        name: String,
        fromMs: Long,
        toMs: Long,
    ) {
        spans += Span(name, fromMs..toMs)
    }

    /** Returns whether the instance or the link to the worker with [name] was disrupted at any time from [fromMs] to [toMs]. */
    fun affected(
        name: String,
        fromMs: Long,
        toMs: Long,
    ): Boolean = spans.any { it.name == name && it.timesMs.first <= toMs && it.timesMs.last >= fromMs }
}

/**
 * Checks that instances follow what workers state in their responses. Whether an instance reaches the store makes no difference.
 *
 * @param arrivals every request that any worker received, refused ones too
 */
class NoticeChecker(
    private val arrivals: Collection<Arrival>,
    private val executions: Collection<Execution>,
    private val disruptions: Disruptions,
) {
    /** A response with which [worker] said that it is leaving, and which [instance] had passed on by [atMs]. */
    private class PassedOn(
        val instance: String,
        val worker: String,
        val atMs: Long,
    )

    /** Returns a message for each violation by the instances that received [requests]. */
    fun violations(requests: Collection<CompletedRequest>): List<String> = drainViolations(requests) + budgetViolations(requests)

    /** Returns the number of responses that instances passed on and with which workers said that they are leaving. */
    fun passedOnCount(requests: Collection<CompletedRequest>): Int = passedOn(requests).size

    private fun passedOn(requests: Collection<CompletedRequest>): List<PassedOn> {
        val leavingBySignature = executions.filter { it.answer?.isLeaving == true }.associateBy { it.answer?.signature }
        return requests.mapNotNull { request ->
            val signature = (request.result as? CallerResult.Response)?.signature ?: return@mapNotNull null
            leavingBySignature[signature]?.let { PassedOn(request.instance, it.worker, request.endedAtMs) }
        }
    }

    /** A request must not reach a leaving worker if its caller sent it more than [DRAIN_MS] after the instance had passed on the notice. */
    private fun drainViolations(requests: Collection<CompletedRequest>): List<String> {
        val requestsById = requests.associateBy { it.id }
        val passedOnByPath = passedOn(requests).groupBy { it.instance to it.worker }
        return arrivals.mapNotNull { arrival ->
            val request = requestsById[arrival.requestId] ?: return@mapNotNull null
            val notice =
                passedOnByPath[request.instance to arrival.worker].orEmpty().lastOrNull {
                    it.atMs + DRAIN_MS < request.sentAtMs &&
                        !disruptions.affected(request.instance, it.atMs - CALLER_DELAY_MS, arrival.atMs)
                } ?: return@mapNotNull null
            "DRAIN: ${request.id}, sent to ${request.instance} at ${request.sentAtMs} ms, reached ${arrival.worker} at " +
                "${arrival.atMs} ms, although the instance had passed on by ${notice.atMs} ms that this worker is leaving"
        }
    }

    /**
     * At most [TOLERATED_ARRIVALS] requests of an instance may reach a worker from [REACTION_MS] after it has refused a request of that
     * instance until the end of the time that the refusal states.
     */
    private fun budgetViolations(requests: Collection<CompletedRequest>): List<String> {
        val instancesById = requests.associate { it.id to it.instance }
        val arrivalsByPath = arrivals.groupBy { instancesById[it.requestId] to it.worker }
        return arrivals.mapNotNull { refusal ->
            val waitMs = refusal.waitMs ?: return@mapNotNull null
            val instance = instancesById[refusal.requestId] ?: return@mapNotNull null
            // The refusal may have been lost on its way.
            if (disruptions.affected(refusal.worker, refusal.atMs, refusal.atMs + REACTION_MS)) return@mapNotNull null
            val early =
                arrivalsByPath[instance to refusal.worker].orEmpty().filter {
                    it.atMs > refusal.atMs + REACTION_MS &&
                        it.atMs < refusal.atMs + waitMs &&
                        !disruptions.affected(instance, refusal.atMs, it.atMs)
                }
            val text = early.joinToString { "${it.requestId} at ${it.atMs} ms" }
            "BUDGET: ${refusal.worker} refused ${refusal.requestId} of $instance at ${refusal.atMs} ms for $waitMs ms, but received $text"
                .takeIf { early.size > TOLERATED_ARRIVALS }
        }
    }

    private companion object {
        /** The time in milliseconds by which a caller on a busy machine may read a response later than the instance has passed it on. */
        const val CALLER_DELAY_MS = 500L

        /** The time in milliseconds within which requests that were on their way may still reach the worker. */
        const val REACTION_MS = 500L
        const val TOLERATED_ARRIVALS = 2
    }
}
