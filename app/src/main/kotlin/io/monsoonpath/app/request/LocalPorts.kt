package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.LimitSettings

/** Returns decisions that know of this instance alone, but for [limiter]. */
internal fun localPorts(
    clock: ClockMs,
    limits: LimitSettings,
    gate: ServiceGate,
    limiter: RateLimiter = LocalRateLimiter(clock),
): RequestPorts {
    val chooser = LeastInFlightChooser()
    return RequestPorts(
        gate = gate,
        limiter = limiter,
        claims = LocalClaimSource(clock),
        queue = LocalFairQueue(limits.maxRunning),
        deadlines = wholeRemainder(),
        chooser = chooser,
        permits = LocalPermitSource(),
        retries = LocalRetryBudget(),
        resumes = resumeBy(chooser),
    )
}
