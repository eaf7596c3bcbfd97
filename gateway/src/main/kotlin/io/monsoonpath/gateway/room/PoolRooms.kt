package io.monsoonpath.gateway.room

import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.BackendGate
import io.monsoonpath.gateway.choice.BackendLoads
import io.monsoonpath.gateway.config.ConfigurationHolder
import io.monsoonpath.gateway.config.Pool
import io.monsoonpath.gateway.directory.BackendDirectory
import io.monsoonpath.gateway.directory.BackendServer
import io.monsoonpath.gateway.http.RequestHead
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.gateway.metrics.GatewayMetrics
import io.monsoonpath.gateway.request.RequestContext
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PoolId
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.room.FirstEventEstimate
import io.monsoonpath.policy.room.PlaceDecision
import io.monsoonpath.policy.room.PlaceRequest
import io.monsoonpath.policy.room.PoolAdmission
import io.monsoonpath.policy.room.PoolDemand
import io.monsoonpath.policy.room.PoolRoom

/** The number of requests that an engine ran, and its pace, when a request was sent to it. */
internal class BatchAtSend(
    val batch: Int,
    val paceFactor: Double,
)

/** A place that a request waits for or holds in the pool of its route. */
internal class PlaceTicket(
    private val rooms: PoolRooms,
    val context: RequestContext,
    internal val onDecision: (PlaceDecision<PlaceTicket>) -> Unit,
) {
    internal lateinit var request: PlaceRequest<PlaceTicket>

    /** Whether the request waits for the place. */
    val isWaiting: Boolean get() = request.isWaiting

    /** Releases the place, or stops waiting for it; [isComplete] tells whether the request ran to its end. Later calls have no effect. */
    fun release(isComplete: Boolean) = rooms.release(this, isComplete)
}

/**
 * The places of this instance in paced pools: holds the requests that wait for one, and starts or refuses them as [PoolAdmission] decides.
 *
 * Confined to the event loop.
 */
class PoolRooms internal constructor(
    private val configuration: ConfigurationHolder,
    private val directory: BackendDirectory,
    private val gate: BackendGate,
    private val loads: BackendLoads,
    private val exchange: ShareExchange,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val metrics: GatewayMetrics,
    private val log: DecisionLog,
) {
    private class Room {
        val admission = PoolAdmission<PlaceTicket>(DEFAULT_CALL_MS.toDouble())
        val firstEvent = FirstEventEstimate()
        val arrivals = ArrivalCounter()
        var isCheckScheduled = false
        var isDispatching = false
        var usage: PoolUsage? = null
        var usageAtMs = 0L
        var runningAtReport = 0
    }

    private val rooms = HashMap<PoolId, Room>()

    /** The number of requests that hold a place. */
    val running: Int get() = rooms.values.sumOf { it.admission.running }

    /** The number of requests that wait for a place. */
    val waiting: Int get() = rooms.values.sumOf { it.admission.waiting }

    init {
        exchange.capacityOf = { id ->
            configuration.current
                ?.poolOf(id)
                ?.let { usageOf(it).capacity }
                ?.takeIf { it > 0 }
        }
    }

    /** Returns the place for the request of [context], to be passed to [enter], or null if the request is to be sent without one. */
    internal fun ticket(
        context: RequestContext,
        onDecision: (PlaceDecision<PlaceTicket>) -> Unit,
    ): PlaceTicket? {
        if (!loads.isPaced(context.pool)) return null
        val pool = context.table.poolOf(context.pool) ?: return null
        if (usageOf(pool).capacity == 0) return null
        val ticket = PlaceTicket(this, context, onDecision)
        val nowMs = clock.nowMs()
        ticket.request =
            PlaceRequest(
                context.workspace?.id ?: ANONYMOUS,
                context.rank,
                workOf(pool, context.head),
                latestStartMs(context, nowMs),
                claimKeyOf(context),
                ticket,
            )
        return ticket
    }

    /** Requests the place of [ticket]; its decision follows at once or later. */
    internal fun enter(ticket: PlaceTicket) {
        val id = ticket.context.pool
        val room = room(id)
        room.arrivals.record(clock.nowMs())
        val isFirst = room.admission.running + room.admission.waiting == 0
        apply(room, id, room.admission.offer(ticket.request, roomOf(id, room), clock.nowMs()))
        dispatch(id, room)
        // Without a demand before, no share is valid; the owner should not learn of a burst only with the next round.
        if (isFirst && !exchange.hasGrant(id)) exchange.report(id, demandOf(room))
    }

    /** Releases the place of [ticket], or stops waiting for it. */
    internal fun release(
        ticket: PlaceTicket,
        isComplete: Boolean,
    ) {
        if (!ticket.request.isRunning && !ticket.request.isWaiting) return
        val id = ticket.context.pool
        val room = room(id)
        room.admission.release(ticket.request, isComplete, clock.nowMs())
        dispatch(id, room)
    }

    /** Returns [ticket], whose request the servers have rejected, to the queue; returns false if it cannot wait any more. */
    internal fun requeue(ticket: PlaceTicket): Boolean {
        val nowMs = clock.nowMs()
        if (!ticket.request.isRunning || nowMs >= ticket.request.latestStartMs) return false
        val id = ticket.context.pool
        val room = room(id)
        apply(room, id, room.admission.requeue(ticket.request, nowMs))
        dispatch(id, room)
        return true
    }

    /** Reports the demand for each pool that has any to the owner of the pool. */
    internal fun reportDemand() {
        for ((id, room) in rooms) {
            val demand = demandOf(room)
            if (demand.running + demand.waiting + demand.arrivals > 0) exchange.report(id, demand)
        }
    }

    /** Returns the expected time from a call of a request with [head] in the pool [id] to the first byte of its response. */
    internal fun expectedCallMs(
        id: PoolId,
        head: RequestHead,
    ): Long {
        if (!loads.isPaced(id)) return DEFAULT_CALL_MS
        val pool = configuration.current?.poolOf(id) ?: return DEFAULT_CALL_MS
        val room = room(id)
        val usage = usageOf(pool)
        if (pool.engine == null) {
            return room.admission.expectedHoldMs(workOf(pool, head)).toLong()
        }
        return room.firstEvent.expectedMs(head.promptTokens, usage.meanBatch, usage.paceFactor, DEFAULT_CALL_MS)
    }

    /** Returns what [server] runs at [nowMs], or null if it is no server of a paced pool. */
    internal fun batchAt(
        server: BackendServer,
        nowMs: Long,
    ): BatchAtSend? {
        if (!loads.isPaced(server.pool)) return null
        val load = loads.of(server)
        val reported = load.reportedWithin(PoolUsage.REPORT_MAX_AGE_MS, nowMs)
        return BatchAtSend(maxOf(load.inFlight, (reported?.running ?: 0) + (reported?.waiting ?: 0)), loads.paceFactor(server, nowMs))
    }

    /** Records that the first byte of the response to a request with [head] arrived [tookMs] after its call. */
    internal fun recordFirstByte(
        id: PoolId,
        head: RequestHead,
        sent: BatchAtSend,
        tookMs: Long,
    ) = room(id).firstEvent.record(head.promptTokens, sent.batch.toDouble(), sent.paceFactor, tookMs)

    private fun room(id: PoolId) = rooms.getOrPut(id) { Room() }

    private fun demandOf(room: Room) = PoolDemand(room.admission.running, room.admission.waiting, room.arrivals.lastSecond(clock.nowMs()))

    private fun roomOf(
        id: PoolId,
        room: Room,
    ): PoolRoom {
        val usage = configuration.current?.poolOf(id)?.let(::usageOf) ?: PoolUsage.UNKNOWN
        val share = exchange.shareOf(id, usage.capacity)
        val reportAgeMs = usage.newestReportAtMs?.let { clock.nowMs() - it }
        return PoolRoom(share.requests, usage.capacity, usage.reportedFree, room.runningAtReport, share.spread, reportAgeMs)
    }

    /** Returns the usage of [pool], which is read again after [USAGE_MAX_AGE_MS] because a pool may have many servers. */
    private fun usageOf(pool: Pool): PoolUsage {
        val room = room(pool.id)
        val nowMs = clock.nowMs()
        room.usage?.takeIf { nowMs - room.usageAtMs < USAGE_MAX_AGE_MS }?.let { return it }
        val servers = directory.usable(pool.id).filter { gate.isAvailable(it, nowMs) }
        val usage = poolUsage(pool, servers, loads, nowMs)
        if (usage.newestReportAtMs != room.usage?.newestReportAtMs) room.runningAtReport = room.admission.running
        room.usage = usage
        room.usageAtMs = nowMs
        return usage
    }

    /** Starts and refuses waiting requests until nothing changes. Requests that end at once release their places in the meantime. */
    private fun dispatch(
        id: PoolId,
        room: Room,
    ) {
        if (room.isDispatching) return
        room.isDispatching = true
        try {
            do {
                val decisions = room.admission.advance(roomOf(id, room), clock.nowMs())
                apply(room, id, decisions)
            } while (decisions.isNotEmpty())
        } finally {
            room.isDispatching = false
        }
        scheduleCheck(id, room)
    }

    private fun scheduleCheck(
        id: PoolId,
        room: Room,
    ) {
        if (room.isCheckScheduled || room.admission.waiting == 0) return
        room.isCheckScheduled = true
        val untilNextStartMs = room.admission.nextStartAtMs - clock.nowMs()
        scheduler.schedule(if (untilNextStartMs in 1..CHECK_INTERVAL_MS) untilNextStartMs else CHECK_INTERVAL_MS) {
            room.isCheckScheduled = false
            dispatch(id, room)
        }
    }

    private fun apply(
        room: Room,
        id: PoolId,
        decisions: List<PlaceDecision<PlaceTicket>>,
    ) {
        for (decision in decisions) {
            val ticket = decision.request.payload
            // An earlier decision of the same list may have ended this request.
            if (decision is PlaceDecision.Start && !ticket.request.isRunning) continue
            logDecision(room, id, decision)
            try {
                ticket.onDecision(decision)
            } catch (e: Exception) {
                // One request that fails to start must not keep the place, nor keep the others from theirs.
                log.failure("start of a request in ${id.value}", e)
                room.admission.release(ticket.request, isComplete = false, clock.nowMs())
            }
        }
    }

    private fun logDecision(
        room: Room,
        id: PoolId,
        decision: PlaceDecision<PlaceTicket>,
    ) {
        val capacity = room.usage?.capacity ?: 0
        val share = exchange.shareOf(id, capacity)
        val outcome =
            when (decision) {
                is PlaceDecision.Start -> decision.reason.name
                is PlaceDecision.Refuse -> if (decision.waitedMs > 0) "REFUSED_AFTER_WAIT" else "REFUSED"
            }
        metrics.placeDecided(id.value, outcome)
        log.line(
            if (decision is PlaceDecision.Start) "request.placed" else "request.not-placed",
            "request" to decision.request.payload.context.head.id,
            "pool" to id,
            "decision" to outcome,
            "waitedMs" to decision.waitedMs,
            "expectedWaitMs" to (decision as? PlaceDecision.Refuse)?.expectedWaitMs,
            "running" to room.admission.running,
            "waiting" to room.admission.waiting,
            "share" to share.requests,
            "shareFrom" to (share.owner ?: "equal split"),
            "shareAgeMs" to share.ageMs,
            "capacity" to capacity,
            "free" to room.usage?.reportedFree,
            "rank" to decision.request.rank,
        )
    }

    /** Returns the latest start at which the response meets its target, or its deadline if the target cannot be met any more. */
    private fun latestStartMs(
        context: RequestContext,
        nowMs: Long,
    ): Long {
        val callMs = expectedCallMs(context.pool, context.head) * CALL_MARGIN_PERCENT / 100
        val onTargetMs = context.latencyTargetAtMs - callMs
        return if (onTargetMs >= nowMs) onTargetMs else context.expectedDisconnectAtMs - callMs
    }

    private fun workOf(
        pool: Pool,
        head: RequestHead,
    ): Double =
        if (pool.engine ==
            null
        ) {
            1.0
        } else {
            1.0 + head.promptTokens / PROMPT_TOKENS_PER_WORK + head.outputTokens / OUTPUT_TOKENS_PER_WORK
        }

    private fun claimKeyOf(context: RequestContext): Int {
        val lastPart = context.head.promptParts.lastOrNull()
        return 31 * (31 * context.workspace?.id.hashCode() + context.route.name.hashCode()) + lastPart?.id.hashCode()
    }

    private companion object {
        val ANONYMOUS = WorkspaceId("")

        /** The time to the first byte of a response under ordinary load, before any was measured. */
        const val DEFAULT_CALL_MS = 250L

        /** How long the usage of a pool is kept; half the duration of a short request. */
        const val USAGE_MAX_AGE_MS = 20L

        /** Requests in the queue are started or refused at most this late if no place is released meanwhile. */
        const val CHECK_INTERVAL_MS = 25L

        /** Half of the calls take longer than expected. */
        const val CALL_MARGIN_PERCENT = 125

        /** An event takes about as long as processing ten tokens of a prompt. */
        const val PROMPT_TOKENS_PER_WORK = 1_000.0
        const val OUTPUT_TOKENS_PER_WORK = 100.0
    }
}
