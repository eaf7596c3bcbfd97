package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.LimitSettings

/** Returns components that use the state of this instance only, except for [limiter], which may be coordinated. */
internal fun localComponents(
    clock: ClockMs,
    limits: LimitSettings,
    gate: ServiceGate,
    limiter: RateLimiter = LocalRateLimiter(clock),
): RequestComponents {
    val chooser = LeastInFlightChooser()
    return RequestComponents(
        gate = gate,
        limiter = limiter,
        claims = LocalClaimSource(clock),
        queue = LocalFairQueue(limits.maxRunning),
        deadlines = remainingTimeDeadlines(),
        chooser = chooser,
        permits = LocalPermitSource(),
        retryBudget = LocalRetryBudget(),
        resumer = chooserResumer(chooser),
    )
}
