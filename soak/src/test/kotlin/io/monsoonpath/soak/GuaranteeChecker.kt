package io.monsoonpath.soak

import java.util.concurrent.ConcurrentLinkedQueue

/** The kinds of requests. [path] is the first segment of the request path and selects the route. */
enum class RequestKind(
    val path: String,
    val isIdempotent: Boolean,
) {
    SAFE("safe", true),
    UNSAFE("unsafe", false),
    STREAM("stream", false),
}

/** A request that a caller has sent, and its outcome. Times are in milliseconds since the start of the traffic. */
class CompletedRequest(
    val id: String,
    val kind: RequestKind,
    val instance: String,
    val key: String,
    /** Whether the prompt crashes each worker that begins to answer it. */
    val isFatal: Boolean,
    val sentAtMs: Long,
    val endedAtMs: Long,
    val result: CallerResult,
)

/**
 * Checks the requests of the callers and the executions by the workers of one soak run against the guarantees of the system.
 *
 * [wasReceived] returns whether an instance has logged that it began to handle the request with the given id.
 */
class GuaranteeChecker(
    private val executions: Collection<Execution>,
    private val crashTimesMs: Collection<Long>,
    private val schedule: FaultSchedule,
    private val wasReceived: (String) -> Boolean,
) {
    private val requests = ConcurrentLinkedQueue<CompletedRequest>()

    /** Records a completed request. */
    fun record(request: CompletedRequest) {
        requests += request
    }

    /** Returns the fraction of the requests with the permanent key, sent at [fromMs] or later, that got status 200. */
    fun servedFraction(fromMs: Long): Double {
        val counted = requests.filter { it.sentAtMs >= fromMs && it.key == FaultSchedule.PERMANENT_KEY && !it.isFatal }
        return counted.count { it.isServed() }.toDouble() / counted.size.coerceAtLeast(1)
    }

    /** The completed requests, in no particular order. */
    val completedRequests: Collection<CompletedRequest> get() = requests

    /** The number of completed requests. */
    val requestCount: Int get() = requests.size

    /** Returns a message for each violation of a guarantee. */
    fun violations(): List<String> {
        val executionsById = executions.groupBy { it.request.id }
        val requestsById = requests.associateBy { it.id }
        return requests.flatMap { requestViolations(it, executionsById[it.id].orEmpty()) } +
            executions.mapNotNull { executionViolation(it, requestsById[it.request.id]) } + listOfNotNull(quarantineViolation())
    }

    private fun requestViolations(
        request: CompletedRequest,
        executionsOfRequest: List<Execution>,
    ): List<String> {
        val result = request.result
        val response = result as? CallerResult.Response
        return listOfNotNull(
            "is not idempotent and ran ${executionsOfRequest.size} times".takeIf {
                !request.kind.isIdempotent &&
                    executionsOfRequest.size > 1
            },
            "was refused as not run, but a worker ran it".takeIf {
                response != null &&
                    response.status in NOT_RUN_STATUSES &&
                    !request.kind.isIdempotent &&
                    executionsOfRequest.isNotEmpty()
            },
            "got the unexpected body '${response?.body}'".takeIf { response?.status == OK && response.body != expectedBody(request) },
            response?.let { foreignResponse(it, executionsOfRequest) },
            "was denied with ${response?.status}, although its key was not withdrawn".takeIf {
                response != null &&
                    response.status in DENIAL_STATUSES &&
                    !schedule.mayBeDenied(request)
            },
            "was served with a withdrawn key".takeIf { response?.status == OK && schedule.mustBeDenied(request) },
            "was interrupted by a planned stop: $result".takeIf {
                result is CallerResult.Incomplete &&
                    wasInterruptedByStop(request, executionsOfRequest)
            },
        ).map { "${request.kind} ${request.id} at ${request.instance}, sent at ${request.sentAtMs} ms: $it" }
    }

    /** Returns a violation if [response] is a success, or a signed failure, that no worker gave to the request. */
    private fun foreignResponse(
        response: CallerResult.Response,
        executionsOfRequest: List<Execution>,
    ): String? {
        val isSuccess = response.status in SUCCESS_STATUSES
        if (!isSuccess && response.signature == null) return null
        val answers = executionsOfRequest.mapNotNull { it.answer }
        if (answers.any { it.status == response.status && it.signature == response.signature && it.body == response.body }) return null
        return "got $response, but the workers answered ${executionsOfRequest.map { it.worker to it.answer }}"
    }

    /**
     * Returns whether only a planned operation can explain that [request] got no complete response.
     *
     * A request that a worker ran is excluded, because a worker that resets its connection, fails or is slow has the same effect on the
     * caller. A request that no instance received is excluded too: it was sent while the instance closed the idle connection.
     */
    private fun wasInterruptedByStop(
        request: CompletedRequest,
        executionsOfRequest: List<Execution>,
    ) = schedule.isUndisturbed(request) && executionsOfRequest.isEmpty() && wasReceived(request.id)

    /** Returns a violation if requests with a fatal prompt went on reaching workers although the instances had time to learn of it. */
    private fun quarantineViolation(): String? {
        val fifthCrashMs = crashTimesMs.sorted().getOrNull(TOLERATED_CRASHES - 1) ?: return null
        val late =
            executions.filter {
                isFatal(it.request) &&
                    it.atMs > fifthCrashMs + FaultSchedule.IN_TOUCH_MS &&
                    schedule.isCalmBefore(it.atMs, FaultSchedule.IN_TOUCH_MS)
            }
        val instancesById = requests.associate { it.id to it.instance }
        val sends = late.sortedBy { it.atMs }.joinToString { "${it.request.id} of ${instancesById[it.request.id]} at ${it.atMs} ms" }
        return "${late.size} requests with a fatal prompt reached workers after the fifth crash at $fifthCrashMs ms: $sends"
            .takeIf { late.size > TOLERATED_SENDS }
    }

    private fun executionViolation(
        execution: Execution,
        request: CompletedRequest?,
    ): String? {
        val headers = execution.request.headers
        val violation =
            when {
                headers.keys.any { it == "authorization" } -> "the worker received the authorization header of the caller"
                headers["monsoonpath-tenant"] != "w" -> "the workspace is '${headers["monsoonpath-tenant"]}' instead of 'w'"
                request != null && execution.request.body != request.id -> "the body is '${execution.request.body}', not the request id"
                schedule.ranAfterDeparture(execution) -> "${execution.worker} ran it after its departure"
                else -> return null
            }
        return "execution of ${execution.request.id} at ${execution.atMs} ms: $violation"
    }

    private fun expectedBody(request: CompletedRequest) =
        if (request.kind == RequestKind.STREAM) eventsOf(request.id) else bodyOf(request.id)

    private fun CompletedRequest.isServed() = (result as? CallerResult.Response)?.status == OK

    private companion object {
        const val OK = 200
        const val TOLERATED_CRASHES = 5
        const val TOLERATED_SENDS = 3
        val SUCCESS_STATUSES = 200..299
        val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)
        val DENIAL_STATUSES = setOf(400, 401, 403, 404, 413, 431)
    }
}
