package io.monsoonpath.gateway.stage

import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId

/** The last reported backlog of each pool, reduced by the time since the report because the workers keep processing. */
class Backlogs(
    private val clock: ClockMs,
) {
    private class Report(
        val backlogMs: Long,
        val atMs: Long,
    )

    private val reports = HashMap<PoolId, Report>()

    /** Records that a new piece of [pool] currently waits [backlogMs] milliseconds. */
    fun report(
        pool: PoolId,
        backlogMs: Long,
    ) {
        reports[pool] = Report(backlogMs, clock.nowMs())
    }

    /** Returns how long a new piece of [pool] waits, in milliseconds; 0 without a report. */
    fun of(pool: PoolId): Long {
        val report = reports[pool] ?: return 0
        return (report.backlogMs - (clock.nowMs() - report.atMs)).coerceAtLeast(0)
    }
}
