package io.monsoonpath.coordination.permits

import io.monsoonpath.coordination.GrantId
import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.PermitRecord
import io.monsoonpath.coordination.message.PermitRequest
import io.monsoonpath.coordination.message.PermitVerdict
import io.monsoonpath.coordination.message.RunId
import io.monsoonpath.coordination.message.RunRecord
import io.monsoonpath.model.BackendId

/** An ask that waits for a permit. */
internal class WaitingRequest(
    val ask: PermitRequest,
    val from: PeerId,
    val receivedMs: Long,
)

/**
 * The permits of one backend server, as its home counts them.
 *
 * Each permit counts until it is given back or lapses, whatever run it was granted for: an old one may still be running.
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

    /** The number of permits that are out. */
    val out: Int get() = permits.size

    /** Whether there is nothing to remember. */
    val isEmpty: Boolean
        get() = permits.isEmpty() && slots.isEmpty() && completions.isEmpty() && waiting.isEmpty() && returned.isEmpty()

    /** Decides on [ask]; null if it waits. */
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

    /** Takes the permit [id] back; a completion counts only for the run that the permit was granted for. */
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

    /** Forgets how far [run] had come, because it was seen cold. */
    fun resetCompletions(run: RunId) {
        completions.remove(run)
    }

    /** Drops what has lapsed; returns the asks that waited too long. */
    fun expire(nowMs: Long): List<WaitingRequest> {
        permits.values.removeIf { it.expiresAtMs <= nowMs }
        slots.values.removeIf { it <= nowMs }
        while (returned.isNotEmpty() && returned.values.first() <= nowMs) returned.remove(returned.keys.first())
        val timedOut = waiting.values.filter { nowMs >= it.receivedMs + it.ask.waitMs }
        timedOut.forEach { waiting.remove(it.ask.id) }
        return timedOut
    }

    /** Grants to those that have waited longest, as far as the load allows; returns them with their verdicts. */
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

    /** Removes and returns all that wait. */
    fun removeWaiting(): List<WaitingRequest> = waiting.values.toList().also { waiting.clear() }

    /** Adds a permit that another home granted, unless it was given back already. */
    fun merge(
        nowMs: Long,
        record: PermitRecord,
    ) {
        if (record.slotRemainingMs > 0) slots.merge(record.id, nowMs + record.slotRemainingMs, ::maxOf)
        if (record.id in returned || record.remainingMs <= 0) return
        permits[record.id] = Permit(record.run, nowMs + record.remainingMs)
    }

    /** Adds completions that another home counted. */
    fun merge(record: RunRecord) {
        completions.merge(record.run, record.completions, ::maxOf)
    }

    /** Returns the permits and slots that still count. */
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

    /** Returns the completions counted. */
    fun runRecords(): List<RunRecord> = completions.map { (run, count) -> RunRecord(backend, run, count) }
}
