package io.monsoonpath.app.request

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.LimitSettings

/** Returns decisions that know of this instance alone. */
internal fun localPorts(
    clock: ClockMs,
    limits: LimitSettings,
    gate: ServiceGate,
): RequestPorts {
    val chooser = LeastInFlightChooser()
    return RequestPorts(
        gate = gate,
        limiter = LocalRateLimiter(clock),
        claims = LocalClaimSource(clock),
        queue = LocalFairQueue(limits.maxRunning),
        deadlines = wholeRemainder(),
        chooser = chooser,
        permits = LocalPermitSource(),
        retries = LocalRetryBudget(),
        resumes = resumeBy(chooser),
    )
}
