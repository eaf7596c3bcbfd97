package io.monsoonpath.policy.choice

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Incarnation

/** Returns a warm server with the given [name] and [fullLoad]. */
internal fun warmBackend(
    name: String,
    fullLoad: Int = 8,
): TrackedBackend = TrackedBackend(BackendId(name), FailureDomain("fd1"), fullLoad, coldLoad = 2).also { it.updateLoadLimit(fullLoad) }

internal fun near(vararg backends: TrackedBackend): List<Candidate> = backends.map { Candidate(it, roundTripMs = 1.0) }

internal fun far(vararg backends: TrackedBackend): List<Candidate> = backends.map { Candidate(it, roundTripMs = 60.0) }

internal fun report(
    inFlight: Int,
    receivedAtMs: Long,
    ownInFlight: Int = 0,
): LoadReport = LoadReport(inFlight, Incarnation(1), receivedAtMs, ownInFlight)
