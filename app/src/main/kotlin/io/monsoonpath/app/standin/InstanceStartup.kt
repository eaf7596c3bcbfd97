package io.monsoonpath.app.standin

import io.monsoonpath.app.http.EntryInstance

/**
 * Publishes the list of [instances], which must be started, and waits until each of them is serving.
 *
 * @throws IllegalStateException if an instance is not serving within [JOIN_TIMEOUT_NS]
 */
internal fun StandInPlatform.publishAndAwaitServing(instances: List<EntryInstance>) {
    publish(demoInstances(1, instances.associate { it.id to it.coordinator.peerPort }))
    val deadlineNs = System.nanoTime() + JOIN_TIMEOUT_NS
    while (!instances.all { it.coordinator.isServing() }) {
        check(System.nanoTime() < deadlineNs) { "not all instances serve within $JOIN_TIMEOUT_NS ns: ${instances.map { it.id }}" }
        Thread.sleep(POLL_MS)
    }
}

private const val JOIN_TIMEOUT_NS = 15_000_000_000L
private const val POLL_MS = 10L
