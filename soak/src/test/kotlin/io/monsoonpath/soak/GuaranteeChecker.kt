package io.monsoonpath.soak

import java.util.concurrent.ConcurrentLinkedQueue

/** The kinds of request, by the first part of their path. */
enum class RequestKind(
    val path: String,
    val isIdempotent: Boolean,
) {
    SAFE("safe", true),
    UNSAFE("unsafe", false),
    STREAM("stream", false),
}

/** A request of a caller, as the caller saw it. */
class CompletedRequest(
    val id: String,
    val kind: RequestKind,
    val instance: String,
    val key: String,
    val sentAtMs: Long,
    val endedAtMs: Long,
    val result: CallerResult,
)

/** What the callers and workers of one run saw, held against what is promised. */
class GuaranteeChecker(
    private val executions: Collection<Execution>,
    private val schedule: FaultSchedule,
    private val wasReceived: (String) -> Boolean,
) {
    private val requests = ConcurrentLinkedQueue<CompletedRequest>()

    /** Notes a request that has ended. */
    fun record(request: CompletedRequest) {
        requests += request
    }

    /** The share of the requests sent from [fromMs] on that were served. */
    fun servedFraction(fromMs: Long): Double {
        val counted = requests.filter { it.sentAtMs >= fromMs && it.key == FaultSchedule.PERMANENT_KEY }
        return counted.count { it.isServed() }.toDouble() / counted.size.coerceAtLeast(1)
    }

    /** The requests that have ended. */
    val requestCount: Int get() = requests.size

    /** Returns a line for each promise that was broken. */
    fun violations(): List<String> {
        val executionsById = executions.groupBy { it.request.id }
        val requestsById = requests.associateBy { it.id }
        return requests.flatMap { requestViolations(it, executionsById[it.id].orEmpty()) } +
            executions.mapNotNull { executionViolation(it, requestsById[it.request.id]) }
    }

    private fun requestViolations(
        request: CompletedRequest,
        executionsOfRequest: List<Execution>,
    ): List<String> {
        val result = request.result
        val response = result as? CallerResult.Response
        return listOfNotNull(
            "ran ${executionsOfRequest.size} times".takeIf { !request.kind.isIdempotent && executionsOfRequest.size > 1 },
            "was refused as not run, and ran".takeIf {
                response != null &&
                    response.status in NOT_RUN_STATUSES &&
                    !request.kind.isIdempotent &&
                    executionsOfRequest.isNotEmpty()
            },
            "got the answer '${response?.body}'".takeIf { response?.status == OK && response.body != expectedBody(request) },
            "was denied with ${response?.status}".takeIf {
                response != null &&
                    response.status in DENIAL_STATUSES &&
                    !schedule.mayBeDenied(request)
            },
            "was served with a withdrawn key".takeIf { response?.status == OK && schedule.mustBeDenied(request) },
            "was cut by a planned stop: $result".takeIf {
                result is CallerResult.Incomplete &&
                    wasInterruptedByStop(request, executionsOfRequest)
            },
        ).map { "${request.kind} ${request.id} at ${request.instance}, sent at ${request.sentAtMs} ms: $it" }
    }

    /**
     * Whether only planned work can have cut [request]: a worker that breaks off, fails or is slow leaves its caller with the same, and
     * a request that crosses the end of an idle connection was never read.
     */
    private fun wasInterruptedByStop(
        request: CompletedRequest,
        executionsOfRequest: List<Execution>,
    ) = schedule.isUndisturbed(request) && executionsOfRequest.isEmpty() && wasReceived(request.id)

    private fun executionViolation(
        execution: Execution,
        request: CompletedRequest?,
    ): String? {
        val headers = execution.request.headers
        val violation =
            when {
                headers.keys.any { it == "authorization" } -> "a worker was given the key"
                headers["monsoonpath-tenant"] != "w" -> "the workspace is ${headers["monsoonpath-tenant"]}"
                request != null && execution.request.body != request.id -> "the body is '${execution.request.body}'"
                schedule.ranAfterDeparture(execution) -> "it reached ${execution.worker}, which had left"
                else -> return null
            }
        return "run ${execution.request.id} at ${execution.atMs} ms: $violation"
    }

    private fun expectedBody(request: CompletedRequest) =
        if (request.kind == RequestKind.STREAM) eventsOf(request.id) else bodyOf(request.id)

    private fun CompletedRequest.isServed() = (result as? CallerResult.Response)?.status == OK

    private companion object {
        const val OK = 200
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val DENIAL_STATUSES = setOf(400, 401, 403, 404, 413, 431)
    }
}
