package io.monsoonpath.policy.cost

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.WorkspaceId
import io.monsoonpath.policy.choice.BackendChooser
import io.monsoonpath.policy.choice.Candidate
import io.monsoonpath.policy.choice.Choice
import io.monsoonpath.policy.choice.ChoiceQuery
import io.monsoonpath.policy.choice.LoadReport
import io.monsoonpath.policy.choice.PrefixHints
import io.monsoonpath.policy.choice.TrackedBackend
import io.monsoonpath.policy.choice.poolView
import io.monsoonpath.policy.deadline.DeadlinePlan
import io.monsoonpath.policy.deadline.expectedDuration
import io.monsoonpath.policy.fairness.FairShareQueue
import io.monsoonpath.policy.fairness.QueuedRequest

/** Executes single decisions with [backendCount] backend servers and [workspaceCount] workspaces, all of which have queued requests. */
internal class DecisionFixture(
    backendCount: Int,
    workspaceCount: Int,
) {
    private val backends = List(backendCount) { i -> backend(i) }
    private val pool = poolView(backends.map { Candidate(it, roundTripMs = 1.0) }, emptyList(), nowMs = 0)
    private val hints =
        PrefixHints(slots = 4_096).also { h ->
            repeat(1_000) { h.recordStored(it.toLong(), backends[it % backendCount].id, nowMs = 0) }
        }
    private val chooser = BackendChooser(hints)
    private val plan = DeadlinePlan(List(6) { expectedDuration(expectedMs = 100) })
    private val workspaces = List(workspaceCount) { WorkspaceId("w$it") }
    private val queue =
        FairShareQueue<Int>(maxQueued = 10 * workspaceCount).also { q ->
            repeat(3 * workspaceCount) { q.enqueue(request(it), nowMs = 0) }
        }
    private var sequence = 0

    /** Chooses a backend server for a call with a cached prefix, and records its start and end. */
    fun choose(): Double {
        sequence++
        val query = ChoiceQuery(expectedMs = 100.0, prefixHash = sequence % 1_000L, prefixSaving = 0.3)
        val chosen = chooser.choose(pool, query, nowMs = 100, seed = sequence.toLong()) as Choice.Chosen
        chosen.backend.recordStart()
        chosen.backend.recordEnd(ratio = 1.0, ok = true, nowMs = 100)
        return chosen.expectedMs
    }

    /** Decides by the expected queue wait whether a request can meet its deadline. */
    fun admit(): Any {
        sequence++
        val waitMs = queue.expectedWaitMs(workspaces[sequence % workspaces.size], slots = 64, nowMs = 100)
        return plan.decide(stage = sequence % 6, nowMs = 0, deadlineAtMs = 1_000_000, waitMs)
    }

    /** Enqueues a request, dequeues one and records its actual cost. */
    fun enqueueAndDequeue(): Any? {
        queue.enqueue(request(sequence++), nowMs = 100)
        val started = queue.dequeue(nowMs = 100).started
        started?.let { queue.correctCost(it.workspace, it.costMs, actualMs = 11.0) }
        return started
    }

    private fun request(i: Int) =
        QueuedRequest(
            workspaces[i % workspaces.size],
            deadlineAtMs = 4_000L + i,
            latestStartMs = 1_000_000,
            costMs = 10.0,
            priority = 0,
            payload = i,
        )

    private fun backend(i: Int): TrackedBackend {
        val backend = TrackedBackend(BackendId("b$i"), FailureDomain("fd${i % 3}"), fullLoad = 8, coldLoad = 2)
        backend.updateLoadLimit(8)
        backend.recordReport(LoadReport(i % 8, Incarnation(1), receivedAtMs = 0, ownInFlight = 0))
        return backend
    }
}

/** Runs [STEPS] xorshift steps of six dependent operations each, which takes about 2 µs on a 3 GHz core. */
internal fun referenceLoop(seed: Long): Long {
    var x = seed or 1
    repeat(STEPS) {
        x = x xor (x shl 13)
        x = x xor (x ushr 7)
        x = x xor (x shl 17)
    }
    return x
}

private const val STEPS = 1_000
