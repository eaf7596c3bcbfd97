package io.monsoonpath.app.policy

import io.monsoonpath.app.request.ClaimSource
import io.monsoonpath.app.request.LocalPermitSource
import io.monsoonpath.app.request.RateLimiter
import io.monsoonpath.app.request.RequestComponents
import io.monsoonpath.app.request.ServiceGate
import io.monsoonpath.app.request.chooserResumer
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.Settings

/** Returns the components that use the load policies. [limiter] and [claims] are as given; the permits count this instance only. */
internal fun policyComponents(
    clock: ClockMs,
    settings: Settings,
    gate: ServiceGate,
    limiter: RateLimiter,
    claims: ClaimSource,
): RequestComponents {
    val durations = StageDurationTracker(clock)
    val chooser = PolicyBackendChooser(clock, settings.failureDomain, durations)
    return RequestComponents(
        gate = gate,
        limiter = limiter,
        claims = claims,
        queue = PolicyFairQueue(clock, settings.limits, durations),
        deadlines = plannedStageDeadlines(durations),
        chooser = chooser,
        permits = LocalPermitSource(),
        retryBudget = PolicyRetryBudget(),
        resumer = chooserResumer(chooser),
    )
}
