package io.monsoonpath.gateway.room

import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.directory.BackendServer

/**
 * The capacity and the use of a pool, as this instance knows it.
 *
 * @property capacity the number of concurrent requests that the servers can take; 0 if unknown
 * @property reportedFree the free slots by recent reports; 0 if few are free or requests wait at the servers, or null without reports
 * @property meanBatch the mean number of requests that a server runs, by recent reports
 * @property paceFactor how much longer than usual work takes on average; 1.0 if as usual or unknown
 * @property newestReportAtMs when the newest report arrived, or null if none is recent
 */
internal class PoolUsage(
    val capacity: Int,
    val reportedFree: Int?,
    val meanBatch: Double,
    val paceFactor: Double,
    val newestReportAtMs: Long?,
) {
    companion object {
        val UNKNOWN = PoolUsage(0, null, 0.0, 1.0, null)

        /** An older report says little about a pool whose requests take some tens of milliseconds. */
        const val REPORT_MAX_AGE_MS = 500L
    }
}

/** Returns the usage at [nowMs] of [pool], whose available servers are [servers]. */
internal fun poolUsage(
    pool: Pool,
    servers: List<BackendServer>,
    loads: BackendLoads,
    nowMs: Long,
): PoolUsage {
    if (servers.isEmpty()) return PoolUsage.UNKNOWN
    var effectiveSlots = 0.0
    var totalSlots = 0
    var paceSum = 0.0
    var reportedSlots = 0
    var runningCount = 0
    var waitingCount = 0
    var reportCount = 0
    // An old report of a busy server must not outweigh a new one of a server that is not.
    val newestAtMs = servers.maxOf { loads.of(it).reportedAtMs }
    val countedFromMs = maxOf(newestAtMs - REPORT_SPREAD_MS, nowMs - PoolUsage.REPORT_MAX_AGE_MS)
    for (server in servers) {
        val slots = pool.engine?.slots ?: server.slots
        val paceFactor = loads.paceFactor(server, nowMs)
        totalSlots += slots
        paceSum += paceFactor
        effectiveSlots += slots / paceFactor.coerceIn(1.0, MAX_PACE_FACTOR)
        val load = loads.of(server)
        val report = load.reported?.takeIf { load.reportedAtMs >= countedFromMs } ?: continue
        reportCount++
        reportedSlots += slots
        runningCount += minOf(report.running, slots)
        waitingCount += report.waiting
    }
    val queueFactor = if (pool.engine == null) 1.0 + PLAIN_QUEUE_SHARE else 1.0
    return PoolUsage(
        capacity = if (totalSlots == 0) 0 else (effectiveSlots * queueFactor).toInt().coerceAtLeast(1),
        reportedFree = if (reportedSlots == 0) null else freeSlots(totalSlots, reportedSlots, runningCount, waitingCount),
        meanBatch = if (reportCount == 0) 0.0 else runningCount.toDouble() / reportCount,
        paceFactor = paceSum / servers.size,
        newestReportAtMs = newestAtMs.takeIf { reportCount > 0 },
    )
}

/** Returns the free slots, assuming that the servers without a report are used like the others. */
private fun freeSlots(
    totalSlots: Int,
    reportedSlots: Int,
    running: Int,
    waiting: Int,
): Int {
    val isBusy = running >= reportedSlots * BUSY_SHARE || waiting * WAITING_DIVISOR >= reportedSlots
    return if (isBusy) 0 else ((reportedSlots - running).toLong() * totalSlots / reportedSlots).toInt()
}

/** Reports that are older than the newest by more than this do not count. */
private const val REPORT_SPREAD_MS = 50L

/** A server that is slower than this for a moment still completes its requests. */
private const val MAX_PACE_FACTOR = 4.0

/** The queue at a plain server, as a share of its slots, which keeps the slots busy between a response and the next request. */
private const val PLAIN_QUEUE_SHARE = 0.5

/** A pool whose slots are used to this share is limited by shares; below it, refusing a request would leave capacity unused. */
private const val BUSY_SHARE = 0.9

/** One waiting request in twenty slots is no chance event. */
private const val WAITING_DIVISOR = 20
