package io.monsoonpath.gateway.choice

import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.ResponseHead
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.model.ClockMs
import io.monsoonpath.policy.backend.Availability
import io.monsoonpath.policy.backend.BackendNotices
import io.monsoonpath.policy.backend.Incarnation
import io.monsoonpath.policy.backend.RetryAfter
import io.monsoonpath.policy.backend.parseRetryAfter

/**
 * The backend servers of a pool that the [BackendGate] keeps requests from.
 *
 * @property leavingCount the number of servers that are leaving
 * @property pausedCount the number of servers that want no requests for some time, or have not answered their first request after it
 * @property oldestNoticeMs the age of the oldest notice in milliseconds, or null if there is none
 * @property waitMs the time in milliseconds until the first server is available: 0 if one is now, or if all are leaving
 */
class WithheldBackends(
    val leavingCount: Int,
    val pausedCount: Int,
    val oldestNoticeMs: Long?,
    val waitMs: Long,
) {
    /** The number of servers that the gate keeps requests from. */
    val count: Int get() = leavingCount + pausedCount
}

/**
 * Keeps requests from backend servers that have stated in their responses that they are leaving or want no requests for some time.
 *
 * It binds this instance whatever the store lists. Confined to the event loop.
 */
class BackendGate(
    private val notices: BackendNotices,
    private val clock: ClockMs,
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Returns whether [server] may receive a new request at [nowMs]. */
    fun availabilityOf(
        server: BackendServer,
        nowMs: Long,
    ): Availability = notices.availabilityOf(server.incarnation, nowMs)

    /** Returns whether [server] is available at [nowMs]. */
    fun isAvailable(
        server: BackendServer,
        nowMs: Long,
    ): Boolean = availabilityOf(server, nowMs) == Availability.Available

    /**
     * Returns when the first of [servers] is available, in milliseconds by this process's clock: [nowMs] if one is available now, or null
     * if all are leaving.
     */
    fun earliestAvailableAtMs(
        servers: List<BackendServer>,
        nowMs: Long,
    ): Long? =
        servers
            .mapNotNull {
                when (val availability = availabilityOf(it, nowMs)) {
                    Availability.Available -> nowMs
                    is Availability.Paused -> availability.untilMs
                    is Availability.Returning -> availability.untilMs
                    is Availability.Leaving -> null
                }
            }.minOrNull()

    /** Returns which of [servers] are not available at [nowMs]. */
    fun withheldOf(
        servers: List<BackendServer>,
        nowMs: Long,
    ): WithheldBackends {
        val availabilities = servers.map { availabilityOf(it, nowMs) }
        val leavingCount = availabilities.count { it is Availability.Leaving }
        return WithheldBackends(
            leavingCount,
            pausedCount = availabilities.count { it != Availability.Available } - leavingCount,
            oldestNoticeMs = availabilities.mapNotNull { it.sinceMs }.minOrNull()?.let { nowMs - it },
            waitMs = earliestAvailableAtMs(servers, nowMs)?.minus(nowMs) ?: 0,
        )
    }

    /** Records that [server] was selected at [nowMs] for a request that will be sent. */
    fun recordSelected(
        server: BackendServer,
        nowMs: Long,
    ) = notices.recordSelected(server.incarnation, nowMs)

    /** Returns whether a request for which [server] was selected at [selectedAtMs] may still be written, and logs it if it may not. */
    fun mayWrite(
        server: BackendServer,
        selectedAtMs: Long,
    ): Boolean {
        if (notices.mayWrite(server.incarnation, selectedAtMs)) return true
        metrics.backendNotice("withheld")
        log("backend.withheld", server, availabilityOf(server, clock.nowMs()))
        return false
    }

    /** Records the notices in the [head] of a response of [server], which was selected for the request at [selectedAtMs]. */
    fun recordHead(
        server: BackendServer,
        head: ResponseHead,
        selectedAtMs: Long,
    ) {
        // Another server has answered at the address.
        if (head.status == MISDIRECTED) return
        head.loadFault?.let { metrics.loadReportIgnored(it.label) }
        if (head.isLeaving) recordLeaving(server)
        val retryAfter = head.retryAfter
        if (head.status == UNAVAILABLE && retryAfter != null) recordRetryAfter(server, retryAfter)
        if (!head.isNotRun) recordAnswer(server, selectedAtMs)
    }

    /** Records that the request for which [server] was selected at [selectedAtMs] has ended, with or without a response. */
    fun recordEnd(
        server: BackendServer,
        selectedAtMs: Long,
    ) = notices.recordEnd(server.incarnation, selectedAtMs)

    private fun recordLeaving(server: BackendServer) {
        if (!notices.recordLeaving(server.incarnation, clock.nowMs())) return
        metrics.backendNotice("leaving")
        log.line("backend.leaving", "backend" to server.id, "pool" to server.pool)
    }

    private fun recordRetryAfter(
        server: BackendServer,
        text: String,
    ) = when (val retryAfter = parseRetryAfter(text)) {
        is RetryAfter.Wait -> recordPause(server, retryAfter)
        RetryAfter.Invalid -> {
            metrics.backendNotice("invalid-retry-after")
            log.line("backend.retry-after-invalid", "backend" to server.id, "pool" to server.pool, "value" to text.take(MAX_LOGGED_CHARS))
        }
    }

    private fun recordPause(
        server: BackendServer,
        retryAfter: RetryAfter.Wait,
    ) {
        val nowMs = clock.nowMs()
        if (!notices.recordRefusal(server.incarnation, retryAfter.waitMs, nowMs)) return
        metrics.backendNotice("retry-after")
        log("backend.paused", server, availabilityOf(server, nowMs), retryAfter)
    }

    private fun recordAnswer(
        server: BackendServer,
        selectedAtMs: Long,
    ) {
        val availability = availabilityOf(server, clock.nowMs())
        if (!notices.recordAnswer(server.incarnation, selectedAtMs)) return
        log("backend.returned", server, availability)
    }

    /** Adds a line for [event] with the age of the notice that [availability] follows from, and the time until it ends. */
    private fun log(
        event: String,
        server: BackendServer,
        availability: Availability,
        wait: RetryAfter.Wait? = null,
    ) {
        val nowMs = clock.nowMs()
        log.line(
            event,
            "backend" to server.id,
            "pool" to server.pool,
            "waitMs" to wait?.waitMs,
            "capped" to wait?.isCapped,
            "notice" to if (availability is Availability.Leaving) "leaving" else "retry-after",
            "ageMs" to availability.sinceMs?.let { nowMs - it },
            "remainingMs" to (availability as? Availability.Paused)?.let { it.untilMs - nowMs },
        )
    }

    private val Availability.sinceMs: Long?
        get() =
            when (this) {
                Availability.Available -> null
                is Availability.Leaving -> sinceMs
                is Availability.Paused -> sinceMs
                is Availability.Returning -> sinceMs
            }

    private val BackendServer.incarnation get() = Incarnation(id, startedAtUnixMs)

    private companion object {
        const val MISDIRECTED = 421
        const val UNAVAILABLE = 503
        const val MAX_LOGGED_CHARS = 64
    }
}
