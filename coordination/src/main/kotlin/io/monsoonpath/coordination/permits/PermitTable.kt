package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.PermitRecord
import io.monsoonpath.coordination.message.PermitRequest
import io.monsoonpath.coordination.message.PermitVerdict
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.message.RunRecord
import io.monsoonpath.model.BackendId

/** A permit request that waits for capacity. */
internal class WaitingRequest(
    val ask: PermitRequest,
    val from: PeerId,
    val receivedMs: Long,
)

/**
 * The permits of one backend server, as counted by its home.
 *
 * A permit counts until it is released or expires, also when it was granted for an earlier run of the server, because its request may
 * still be running.
 */
internal class PermitTable(
    private val backend: BackendId,
    private val timing: PermitTiming,
) {
    private class Permit(
        val run: RunId,
        val expiresAtMs: Long,
    )

    private val permits = HashMap<GrantId, Permit>()
    private val slots = HashMap<GrantId, Long>()
    private val completions = LinkedHashMap<RunId, Int>()
    private val waiting = LinkedHashMap<GrantId, WaitingRequest>()
    private val returned = LinkedHashMap<GrantId, Long>()

    /** The number of outstanding permits. */
    val out: Int get() = permits.size

    /** Whether the table holds no state and can be dropped. */
    val isEmpty: Boolean
        get() = permits.isEmpty() && slots.isEmpty() && completions.isEmpty() && waiting.isEmpty() && returned.isEmpty()

    /** Decides on [ask]; returns null if it is queued. */
    fun decide(
        nowMs: Long,
        ask: PermitRequest,
        from: PeerId,
        limits: PermitLimits,
    ): PermitVerdict? {
        val queued = waiting[ask.id]
        val receivedMs = queued?.receivedMs ?: nowMs
        return when {
            ask.id in permits -> PermitVerdict.GRANTED
            ask.id in returned -> PermitVerdict.BUSY
            limits.warmsUp && allowedLoad(ask.run, limits) >= limits.fullLoad -> PermitVerdict.WARM
            hasCapacity(ask.run, limits) && (waiting.isEmpty() || waiting.keys.first() == ask.id) -> {
                grant(nowMs, ask, receivedMs, limits)
                PermitVerdict.GRANTED
            }
            queued != null -> null
            ask.waitMs <= 0 || waiting.size >= timing.maxWaiting -> PermitVerdict.BUSY
            else -> {
                waiting[ask.id] = WaitingRequest(ask, from, nowMs)
                null
            }
        }
    }

    private fun allowedLoad(
        run: RunId,
        limits: PermitLimits,
    ) = limits.loadAfter(completions[run] ?: 0)

    private fun hasCapacity(
        run: RunId,
        limits: PermitLimits,
    ) = permits.size < allowedLoad(run, limits) && slots.size < (limits.startsPerWindow ?: Int.MAX_VALUE)

    private fun grant(
        nowMs: Long,
        ask: PermitRequest,
        receivedMs: Long,
        limits: PermitLimits,
    ) {
        waiting.remove(ask.id)
        permits[ask.id] = Permit(ask.run, receivedMs + timing.lifetimeMs(ask.budgetMs))
        if (limits.startsPerWindow != null) slots[ask.id] = nowMs + timing.slotMs
    }

    /** Releases the permit [id]; a completion counts only for the run for which the permit was granted. */
    fun release(
        nowMs: Long,
        id: GrantId,
        isCompleted: Boolean,
    ) {
        waiting.remove(id)
        returned[id] = nowMs + timing.maxLifetimeMs
        val permit = permits.remove(id) ?: return
        if (!isCompleted) return
        val count = completions.remove(permit.run) ?: 0
        completions[permit.run] = count + 1
        if (completions.size > timing.maxRuns) completions.remove(completions.keys.first())
    }

    /** Resets the completions of [run], because a cold start of it was observed. */
    fun resetCompletions(run: RunId) {
        completions.remove(run)
    }

    /** Drops expired entries; removes and returns the requests that waited too long. */
    fun expire(nowMs: Long): List<WaitingRequest> {
        permits.values.removeIf { it.expiresAtMs <= nowMs }
        slots.values.removeIf { it <= nowMs }
        while (returned.isNotEmpty() && returned.values.first() <= nowMs) returned.remove(returned.keys.first())
        val timedOut = waiting.values.filter { nowMs >= it.receivedMs + it.ask.waitMs }
        timedOut.forEach { waiting.remove(it.ask.id) }
        return timedOut
    }

    /** Decides on queued requests, oldest first, until one has to keep waiting; returns the decided ones with their verdicts. */
    fun serveWaiting(
        nowMs: Long,
        limits: PermitLimits,
    ): List<Pair<WaitingRequest, PermitVerdict>> {
        val served = ArrayList<Pair<WaitingRequest, PermitVerdict>>()
        while (waiting.isNotEmpty()) {
            val first = waiting.values.first()
            val verdict = decide(nowMs, first.ask, first.from, limits) ?: break
            waiting.remove(first.ask.id)
            served += first to verdict
        }
        return served
    }

    /** Removes and returns all queued requests. */
    fun removeWaiting(): List<WaitingRequest> = waiting.values.toList().also { waiting.clear() }

    /** Adds a permit granted by a former home, unless it has been released or has expired. */
    fun merge(
        nowMs: Long,
        record: PermitRecord,
    ) {
        if (record.slotRemainingMs > 0) slots.merge(record.id, nowMs + record.slotRemainingMs, ::maxOf)
        if (record.id in returned || record.remainingMs <= 0) return
        permits[record.id] = Permit(record.run, nowMs + record.remainingMs)
    }

    /** Adds completions counted by a former home. */
    fun merge(record: RunRecord) {
        completions.merge(record.run, record.completions, ::maxOf)
    }

    /** Returns the outstanding permits and occupied start slots with their remaining times. */
    fun permitRecords(nowMs: Long): List<PermitRecord> =
        (permits.keys + slots.keys).map { id ->
            val permit = permits[id]
            PermitRecord(
                backend = backend,
                id = id,
                run = permit?.run ?: RunId(""),
                remainingMs = (permit?.expiresAtMs ?: nowMs) - nowMs,
                slotRemainingMs = (slots[id] ?: nowMs) - nowMs,
            )
        }

    /** Returns the completions counted for each run. */
    fun runRecords(): List<RunRecord> = completions.map { (run, count) -> RunRecord(backend, run, count) }
}
