package io.monsoonpath.app.standin

import io.monsoonpath.app.http.EntryInstance

/** Publishes the list of [instances], which have been started, and waits until each may use what is homed at it. */
internal fun StandInPlatform.publishAndAwaitServing(instances: List<EntryInstance>) {
    publish(demoInstances(1, instances.associate { it.id to it.coordinator.peerPort }))
    val deadlineNs = System.nanoTime() + JOIN_TIMEOUT_NS
    while (!instances.all { it.coordinator.isServing() }) {
        check(System.nanoTime() < deadlineNs) { "the instances do not serve together" }
        Thread.sleep(POLL_MS)
    }
}

private const val JOIN_TIMEOUT_NS = 15_000_000_000L
private const val POLL_MS = 10L
