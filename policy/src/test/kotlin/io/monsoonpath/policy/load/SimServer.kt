package io.monsoonpath.policy.load

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.retry.AttemptFailure
import java.util.PriorityQueue
import java.util.SplittableRandom

/** A virtual clock that runs scheduled actions in the order of their times. */
internal class Timeline {
    private class Entry(
        val atMs: Double,
        val seq: Long,
        val action: () -> Unit,
    )

    private val entries = PriorityQueue<Entry>(compareBy({ it.atMs }, { it.seq }))
    private var nextSeq = 0L

    /** The current virtual time. */
    var nowMs = 0.0
        private set

    fun after(
        delayMs: Double,
        action: () -> Unit,
    ) {
        entries.add(Entry(nowMs + delayMs, nextSeq++, action))
    }

    fun runUntil(endMs: Double) {
        while (entries.isNotEmpty() && entries.peek().atMs <= endMs) {
            val entry = entries.poll()
            nowMs = entry.atMs
            entry.action()
        }
    }
}

/** One attempt on a simulated server, from send to response. */
internal class SimCall(
    val request: SimRequest,
    val stage: Int,
    val server: SimServer,
    val onEnd: (AttemptFailure?) -> Unit,
) {
    val epoch = server.epoch
    var hasPermit = false
    var expectedMs = 1.0
    var sentAtMs = 0.0
    var startedAtMs = -1.0
    var released = false
    var ended = false
    var workMs = 0.0
}

/**
 * A simulated backend server. It batches requests up to its full load, queues the rest, caches prefixes, and restarts if it receives
 * more than its cold load while it is cold.
 */
internal class SimServer(
    val id: BackendId,
    val domain: FailureDomain,
    val pool: SimPool,
    private val timeline: Timeline,
    private val random: SplittableRandom,
) {
    private val running = LinkedHashSet<SimCall>()
    private val waiting = ArrayDeque<SimCall>()
    private val prefixes = LinkedHashSet<Long>()
    private var answersWhileCold = 0

    /** Incremented by each restart. Connections of an earlier epoch are broken. */
    var epoch = 1L
        private set
    var cold = false
        private set
    var slowFactor = 1.0
    var sendsAboveColdLoad = 0
        private set
    var onPrefixStored: (Long) -> Unit = {}

    val inFlight: Int get() = running.size + waiting.size

    fun receive(call: SimCall) {
        if (call.ended) return
        if (call.epoch != epoch) return end(call, AttemptFailure.LOST)
        if (cold && inFlight >= pool.coldLoad) {
            sendsAboveColdLoad++
            end(call, AttemptFailure.LOST)
            restart()
            return
        }
        if (running.size < pool.fullLoad) start(call) else waiting.addLast(call)
    }

    fun cancel(call: SimCall) {
        if (call.ended) return
        call.ended = true
        waiting.remove(call)
        finishWork(call)
    }

    /** Simulates a crash and restart: all calls are lost, and the server is cold. */
    fun restart() {
        epoch++
        cold = true
        answersWhileCold = 0
        prefixes.clear()
        val lost = running.toList() + waiting
        waiting.clear()
        lost.forEach { end(it, AttemptFailure.LOST) }
    }

    private fun start(call: SimCall) {
        running += call
        call.startedAtMs = timeline.nowMs
        val stage = call.request.pipeline.stages[call.stage]
        val hit = stage.prefixSaving > 0 && call.request.prefixHash in prefixes
        val batching = 1 + (FULL_BATCH_FACTOR - 1) * running.size / pool.fullLoad
        val saving = if (hit) 1 - stage.prefixSaving else 1.0
        val coldFactor = if (cold) COLD_FACTOR else 1.0
        if (stage.prefixSaving > 0) cachePrefix(call.request.prefixHash)
        timeline.after(stage.baseMs * random.serviceFactor() * batching * saving * coldFactor * slowFactor) { complete(call) }
    }

    private fun complete(call: SimCall) {
        if (call.ended) return
        answersWhileCold++
        if (cold && answersWhileCold >= ANSWERS_UNTIL_WARM) cold = false
        end(call, null)
    }

    private fun end(
        call: SimCall,
        failure: AttemptFailure?,
    ) {
        if (call.ended) return
        call.ended = true
        finishWork(call)
        timeline.after(RESPONSE_DELAY_MS) { call.onEnd(failure) }
    }

    private fun finishWork(call: SimCall) {
        if (running.remove(call)) call.workMs = timeline.nowMs - call.startedAtMs
        while (running.size < pool.fullLoad && waiting.isNotEmpty()) start(waiting.removeFirst())
    }

    private fun cachePrefix(prefix: Long) {
        prefixes.remove(prefix)
        prefixes.add(prefix)
        if (prefixes.size > MAX_CACHED_PREFIXES) prefixes.remove(prefixes.first())
        onPrefixStored(prefix)
    }

    private companion object {
        const val COLD_FACTOR = 2.5
        const val ANSWERS_UNTIL_WARM = 12
        const val MAX_CACHED_PREFIXES = 12
        const val RESPONSE_DELAY_MS = 0.2
    }
}

/** A simulated request of a caller. */
internal class SimRequest(
    val workspace: WorkspaceId,
    val pipeline: SimPipeline,
    val arrivedAtMs: Double,
    val withinRate: Boolean,
    val prefixHash: Long,
) {
    val deadlineAtMs: Long get() = (arrivedAtMs + pipeline.deadlineMs).toLong()
    val calls = mutableListOf<SimCall>()
    val accepted = mutableSetOf<SimCall>()
    var answeredAtMs: Double? = null
    var refusedAtMs: Double? = null

    /** Whether the instance answered or refused the request. */
    val isOver: Boolean get() = answeredAtMs != null || refusedAtMs != null
}
