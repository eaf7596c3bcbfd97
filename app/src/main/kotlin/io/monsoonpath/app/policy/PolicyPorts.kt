package io.monsoonpath.app.policy

import io.monsoonpath.app.request.ClaimSource
import io.monsoonpath.app.request.LocalPermitSource
import io.monsoonpath.app.request.RateLimiter
import io.monsoonpath.app.request.RequestPorts
import io.monsoonpath.app.request.ServiceGate
import io.monsoonpath.app.request.resumeBy
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Settings

/** Returns the decisions under load; limits, claims and permits know of this instance alone. */
internal fun policyPorts(
    clock: ClockMs,
    settings: Settings,
    gate: ServiceGate,
    limiter: RateLimiter,
    claims: ClaimSource,
): RequestPorts {
    val durations = StageDurationBook(clock)
    val chooser = PolicyChooser(clock, settings.failureDomain, durations)
    return RequestPorts(
        gate = gate,
        limiter = limiter,
        claims = claims,
        queue = PolicyFairQueue(clock, settings.limits, durations),
        deadlines = plannedDeadlines(durations),
        chooser = chooser,
        permits = LocalPermitSource(),
        retries = PolicyRetryBudget(),
        resumes = resumeBy(chooser),
    )
}
