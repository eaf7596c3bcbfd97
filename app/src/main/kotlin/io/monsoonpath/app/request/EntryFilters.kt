package io.monsoonpath.app.request

import io.github.oshai.kotlinlogging.KotlinLogging
import io.monsoonpath.model.Access
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.ExecutionStatus
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.RequestId
import io.monsoonpath.model.Step
import io.monsoonpath.model.valueOrNull
import kotlinx.coroutines.CancellationException

private val log = KotlinLogging.logger {}

/** Records the start and the end of each request, and converts unexpected exceptions into refusals. */
internal fun traceFilter(
    clock: ClockMs,
    events: EventSink,
    metrics: RequestMetrics,
) = Filter { exchange, next ->
    events.emit(Event.RequestReceived(exchange.id, exchange.path))
    val outcome =
        try {
            next.handle(exchange)
        } catch (e: CancellationException) {
            val refusal = refused(RefusalReason.CANCELLED, Step.RECEIVE, "the caller left", ran = exchange.ran)
            recordEnd(exchange, refusal, clock, events, metrics)
            throw e
        } catch (e: Exception) {
            log.error(e) { "request ${exchange.id} failed with an unexpected exception" }
            refused(RefusalReason.INTERNAL, Step.RECEIVE, "an unexpected error", ran = exchange.ran)
        }
    recordEnd(exchange, outcome, clock, events, metrics)
    outcome
}

private fun recordEnd(
    exchange: Exchange,
    outcome: Outcome<Answer>,
    clock: ClockMs,
    events: EventSink,
    metrics: RequestMetrics,
) {
    val tookMs = clock.nowMs() - exchange.receivedAtMs
    when (outcome) {
        is Outcome.Ok -> {
            events.emit(Event.RequestAnswered(exchange.id, tookMs))
            metrics.recordAnswered(exchange.path, tookMs)
        }
        is Outcome.Refused -> recordRefusal(exchange.id, outcome, events, metrics)
    }
}

/** Records a refusal as an event, a metric and a log line. */
internal fun recordRefusal(
    id: RequestId,
    refused: Outcome.Refused,
    events: EventSink,
    metrics: RequestMetrics,
) {
    val refusal = refused.refusal
    events.emit(Event.Refused(id, refusal))
    metrics.recordRefused(refusal.reason)
    log.atInfo {
        message = "refused: ${refusal.detail}"
        payload =
            mapOf("requestId" to id.value, "step" to refusal.step.name, "reason" to refusal.reason.name, "ran" to refusal.ran.name) +
            listOfNotNull(refusal.peer?.let { "peer" to it }, refusal.stage?.let { "stage" to it.value })
    }
}

/** Determines the identity of the caller from the key of the request, and clears the key. */
internal fun authenticateFilter() =
    Filter { exchange, next ->
        val key = exchange.takeKey()
        exchange.identity =
            when (val spec = key?.let { exchange.view.findKeyOrNull(it) }) {
                null -> if (key == null) Identity.Missing else Identity.Unknown
                else -> if (spec.withdrawn) Identity.Withdrawn(spec.id) else Identity.Known(spec)
            }
        next.handle(exchange)
    }

/** Determines the route, the pipeline and the workspace, and refuses requests of keyed routes without an active key. */
internal fun routeFilter() =
    Filter { exchange, next ->
        val view = exchange.view
        val route = view.routeOrNull(exchange.path)
        if (route == null) {
            refused(RefusalReason.NO_ROUTE, Step.ROUTE, "there is no route at this path")
        } else {
            exchange.route = route
            exchange.pipeline = view.pipeline(route.pipeline)
            val identity = exchange.identity
            if (route.access == Access.KEYED && identity is Identity.Known) exchange.workspace = view.workspace(identity.key.workspace)
            refusalOf(route.access, identity) ?: next.handle(exchange)
        }
    }

private fun refusalOf(
    access: Access,
    identity: Identity,
): Outcome.Refused? {
    if (access == Access.OPEN) return null
    return when (identity) {
        Identity.Missing -> refused(RefusalReason.KEY_MISSING, Step.AUTHENTICATE, "this route needs a key")
        Identity.Unknown -> refused(RefusalReason.KEY_INVALID, Step.AUTHENTICATE, "the key is not known")
        is Identity.Withdrawn -> refused(RefusalReason.KEY_WITHDRAWN, Step.AUTHENTICATE, "the key ${identity.id} is withdrawn")
        is Identity.Known -> null
    }
}

/** Refuses requests that [gate] does not admit. */
internal fun gateFilter(gate: ServiceGate) =
    Filter { exchange, next ->
        gate.refusalOrNull(exchange)?.let { Outcome.Refused(it) } ?: next.handle(exchange)
    }

/**
 * Charges the request to the rate limit of its workspace, and refunds the charge if the request is refused without having run.
 *
 * Open routes have no rate limit.
 */
internal fun rateFilter(limiter: RateLimiter) =
    Filter { exchange, next ->
        val workspace = exchange.workspace
        when (val taken = workspace?.let { limiter.acquire(it, exchange.deadlineAtMs) }) {
            is Outcome.Refused -> taken
            else -> {
                val outcome = next.handle(exchange)
                if (outcome.isNotRun()) taken?.valueOrNull()?.refund()
                outcome
            }
        }
    }

private fun Outcome<Answer>.isNotRun() = this is Outcome.Refused && refusal.ran == ExecutionStatus.NOT_RUN

/** Waits for an execution slot of the fair queue, and releases it when the request has ended. */
internal fun queueFilter(
    queue: FairQueue,
    clock: ClockMs,
) = Filter { exchange, next ->
    when (val acquired = queue.acquire(exchange)) {
        is Outcome.Refused -> acquired
        is Outcome.Ok -> {
            val startMs = clock.nowMs()
            try {
                next.handle(exchange)
            } finally {
                acquired.value.release(clock.nowMs() - startMs)
            }
        }
    }
}

/** Claims the request id on non-idempotent routes, so that a request that is sent again does not run twice. */
internal fun claimFilter(claims: ClaimSource) =
    Filter { exchange, next ->
        if (exchange.route.idempotent) {
            next.handle(exchange)
        } else {
            when (val claimed = claims.claim(exchange.workspace?.id, exchange.id, exchange.deadlineAtMs - exchange.receivedAtMs)) {
                is Outcome.Refused -> claimed
                is Outcome.Ok -> handleClaimed(exchange, next, claimed.value)
            }
        }
    }

private suspend fun handleClaimed(
    exchange: Exchange,
    next: RequestHandler,
    claim: Claim,
): Outcome<Answer> {
    var outcome: Outcome<Answer>? = null
    try {
        return next.handle(exchange).also { outcome = it }
    } finally {
        claim.finish(exchange.mustNotRunAgain, outcome)
    }
}
