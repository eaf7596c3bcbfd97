package io.monsoonpath.app.request

import io.monsoonpath.model.Access
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Event
import io.monsoonpath.model.EventSink
import io.monsoonpath.model.Outcome
import io.monsoonpath.model.RefusalReason
import io.monsoonpath.model.Step

/** Notes the arrival and the end of each request. */
internal fun traceFilter(
    clock: ClockMs,
    events: EventSink,
) = Filter { exchange, next ->
    events.emit(Event.RequestReceived(exchange.id, exchange.path))
    val outcome = next.proceed(exchange)
    when (outcome) {
        is Outcome.Ok -> events.emit(Event.RequestAnswered(exchange.id, clock.nowMs() - exchange.receivedAtMs))
        is Outcome.Refused -> events.emit(Event.Refused(exchange.id, outcome.refusal))
    }
    outcome
}

/** Finds the route and its pipeline. */
internal fun routeFilter() =
    Filter { exchange, next ->
        val route = exchange.view.routeOrNull(exchange.path)
        if (route == null) {
            refused(RefusalReason.NO_ROUTE, Step.ROUTE, "no route at ${exchange.path}")
        } else {
            exchange.route = route
            exchange.pipeline = exchange.view.pipeline(route.pipeline)
            next.proceed(exchange)
        }
    }

/** Checks the key and lets the request run only for the workspace that the key belongs to. */
internal fun authenticateFilter() =
    Filter { exchange, next ->
        val key = exchange.key
        exchange.dropKey()
        val spec = key?.let { exchange.view.keys.matchOrNull(it) }
        when {
            exchange.route.access == Access.OPEN -> next.proceed(exchange)
            key == null -> refused(RefusalReason.KEY_MISSING, Step.AUTHENTICATE, "this route needs a key")
            spec == null -> refused(RefusalReason.KEY_INVALID, Step.AUTHENTICATE, "the key is not known")
            spec.withdrawn -> refused(RefusalReason.KEY_WITHDRAWN, Step.AUTHENTICATE, "the key ${spec.id} is withdrawn")
            else -> {
                exchange.workspace = exchange.view.workspace(spec.workspace)
                next.proceed(exchange)
            }
        }
    }

/** Takes the request off its workspace's limit; open routes have none. */
internal fun rateFilter(limiter: RateLimiter) =
    Filter { exchange, next ->
        val workspace = exchange.workspace
        when (val taken = workspace?.let { limiter.acquire(it) }) {
            is Outcome.Refused -> taken
            else -> next.proceed(exchange)
        }
    }

/** Waits for the request's fair turn and gives it back at the end. */
internal fun queueFilter(
    queue: FairQueue,
    clock: ClockMs,
) = Filter { exchange, next ->
    when (val entered = queue.enter(exchange)) {
        is Outcome.Refused -> entered
        is Outcome.Ok -> {
            val startMs = clock.nowMs()
            try {
                next.proceed(exchange)
            } finally {
                entered.value.leave(clock.nowMs() - startMs)
            }
        }
    }
}
