package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.ConfigRevision
import io.monsoonpath.model.Configuration
import io.monsoonpath.model.Endpoint
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.Incarnation
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.InstanceList
import io.monsoonpath.model.ListRevision
import io.monsoonpath.model.Member
import io.monsoonpath.model.Problem
import io.monsoonpath.model.Region
import io.monsoonpath.model.ValidationResult
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.util.PriorityQueue
import kotlin.random.Random

/** Runs many [DocumentReplicator] instances over an in-memory network and platform in virtual time. */
@OptIn(ExperimentalSerializationApi::class)
internal class ReplicationSimulation(
    val size: Int,
    domains: Int,
    regions: Int = 1,
    private val seed: Long = 1,
    private val delayMs: LongRange = 1L..3L,
) {
    class Node(
        val id: InstanceId,
        val domain: FailureDomain,
        val region: Region,
        var replicator: DocumentReplicator,
        var incarnation: Long,
        var isUp: Boolean = true,
        var adopted: Long = 0,
        var reads: Long = 0,
        var bytesOut: Long = 0,
        var bytesIn: Long = 0,
    )

    private class ScheduledAction(
        val atMs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private val cbor = Cbor { useDefiniteLengthEncoding = true }
    private val random = Random(seed)
    private val queue = PriorityQueue<ScheduledAction>(compareBy<ScheduledAction> { it.atMs }.thenBy { it.order })
    private var order = 0L
    private val regionOf = (0 until domains).associate { FailureDomain("fd$it") to Region("r${it % regions}") }

    var nowMs = 0L
        private set
    var platform = Platform()
    var isCut: (InstanceId, InstanceId) -> Boolean = { _, _ -> false }
    var canReadPlatform: (InstanceId) -> Boolean = { true }
    var staleFor: Set<InstanceId>? = null
    var countBytes = false
    val errors = mutableListOf<String>()

    /** The documents that the platform serves, each with its revision. */
    class Platform {
        var configuration: Pair<Long, ByteArray>? = null
        var list: Pair<Long, ByteArray>? = null
        var staleConfiguration: Pair<Long, ByteArray>? = null
    }

    private fun configurationAt(revision: Long) =
        Configuration(
            revision = ConfigRevision(revision),
            domains = emptyList(),
            pools = emptyList(),
            backends = emptyList(),
            pipelines = emptyList(),
            routes = emptyList(),
            workspaces = emptyList(),
        )

    private val members =
        (0 until size).map {
            val domain = FailureDomain("fd${it % domains}")
            Member(InstanceId("e%03d".format(it)), Endpoint("127.0.0.1", 1), regionOf.getValue(domain), domain)
        }
    private val instances = InstanceList(ListRevision(1), members)

    /** Parses documents whose first line is the revision, because thousands of real documents would be slow to parse. */
    private val parser =
        DocumentParser { kind, text ->
            val revision = text.decodeToString(0, minOf(text.size, 20)).substringBefore('\n').toLongOrNull()
            when {
                revision == null -> ValidationResult.Invalid(listOf(Problem("$", "text", "must start with a revision")))
                kind == DocumentKind.CONFIGURATION -> ValidationResult.Valid(PublishedDocument.OfConfiguration(configurationAt(revision)))
                else -> ValidationResult.Valid(PublishedDocument.OfInstances(instances.copy(revision = ListRevision(revision))))
            }
        }

    val nodes = members.map { Node(it.id, it.domain, it.region, newReplicator(it.id, it.domain, it.region, 1), 1) }
    private val byId = nodes.associateBy { it.id }

    init {
        platform.list = 1L to "1\n".toByteArray()
        nodes.forEach { tick(it, random.nextLong(TICK_MS), it.incarnation) }
    }

    fun publish(
        revision: Long,
        text: ByteArray,
    ) {
        platform.configuration = revision to "$revision\n".toByteArray() + text
    }

    /** Runs until [condition] is true or [limitMs] have elapsed. Returns the elapsed time in milliseconds. */
    fun runUntil(
        limitMs: Long,
        condition: () -> Boolean = { false },
    ): Long {
        val startMs = nowMs
        while (nowMs - startMs < limitMs && !condition()) {
            val due = queue.poll()
            nowMs = maxOf(nowMs, due.atMs)
            due.run()
        }
        return nowMs - startMs
    }

    fun allAdopted(revision: Long) = nodes.all { !it.isUp || it.adopted >= revision }

    fun kill(node: Node) {
        node.isUp = false
    }

    fun restart(node: Node) {
        node.incarnation++
        node.adopted = 0
        node.isUp = true
        node.replicator = newReplicator(node.id, node.domain, node.region, node.incarnation)
        tick(node, 1, node.incarnation)
    }

    private fun newReplicator(
        id: InstanceId,
        domain: FailureDomain,
        region: Region,
        incarnation: Long,
    ) = DocumentReplicator(
        PeerId(id, Incarnation(incarnation)),
        region,
        domain,
        nowMs,
        seed * 7919 + id.hashCode() + incarnation,
        parser = parser,
    )

    private fun schedule(
        afterMs: Long,
        run: () -> Unit,
    ) {
        queue += ScheduledAction(nowMs + afterMs, order++, run)
    }

    private fun tick(
        node: Node,
        afterMs: Long,
        incarnation: Long,
    ) {
        schedule(afterMs) {
            if (node.isUp && node.incarnation == incarnation) {
                apply(node, node.replicator.onTick(nowMs))
                tick(node, TICK_MS, incarnation)
            }
        }
    }

    private fun apply(
        node: Node,
        effects: List<ReplicationEffect>,
    ) = effects.forEach { effect ->
        when (effect) {
            is ReplicationEffect.Send -> send(node, effect)
            is ReplicationEffect.Read -> read(node, effect)
            is ReplicationEffect.Adopt -> recordAdoption(node, effect)
            is ReplicationEffect.Reject -> errors += "${node.id} rejected ${effect.kind} from ${effect.source}"
        }
    }

    private fun recordAdoption(
        node: Node,
        effect: ReplicationEffect.Adopt,
    ) {
        if (effect.kind != DocumentKind.CONFIGURATION) return
        if (effect.document.revision <= node.adopted) errors += "${node.id} reverted from ${node.adopted} to ${effect.document.revision}"
        node.adopted = effect.document.revision
    }

    private fun send(
        node: Node,
        effect: ReplicationEffect.Send,
    ) {
        val target = byId.getValue(effect.to)
        if (countBytes) recordBytes(node, target, effect.message)
        if (isCut(node.id, target.id)) return
        val from = PeerId(node.id, Incarnation(node.incarnation))
        schedule(random.nextLong(delayMs.first, delayMs.last + 1)) {
            if (target.isUp) apply(target, target.replicator.onMessage(nowMs, from, effect.message))
        }
    }

    private fun recordBytes(
        node: Node,
        target: Node,
        message: PeerMessage,
    ) {
        val bytes = cbor.encodeToByteArray(PeerMessage.serializer(), message).size + FRAME_OVERHEAD_BYTES
        node.bytesOut += bytes
        target.bytesIn += bytes
    }

    private fun configurationFor(id: InstanceId): Pair<Long, ByteArray>? {
        val isStale = staleFor?.let { id in it } ?: true
        return platform.staleConfiguration?.takeIf { isStale } ?: platform.configuration
    }

    private fun read(
        node: Node,
        effect: ReplicationEffect.Read,
    ) {
        node.reads++
        val sentMs = nowMs
        val incarnation = node.incarnation
        val untilMs = nowMs + effect.waitMs

        fun finish(result: ReadResult) =
            schedule(1) {
                if (node.isUp && node.incarnation == incarnation) apply(node, node.replicator.onRead(nowMs, sentMs, effect.kind, result))
            }

        fun poll() {
            val served = if (effect.kind == DocumentKind.INSTANCES) platform.list else configurationFor(node.id)
            when {
                !canReadPlatform(node.id) -> finish(ReadResult.Failed)
                served != null && served.first > effect.after -> finish(ReadResult.Document(served.second))
                nowMs >= untilMs -> finish(ReadResult.Unchanged(served?.first ?: 0))
                else -> schedule(WATCH_POLL_MS) { poll() }
            }
        }
        schedule(1) { poll() }
    }

    private companion object {
        const val TICK_MS = 50L
        const val WATCH_POLL_MS = 10L

        /** Frame length, authentication code, sequence number and message length. */
        const val FRAME_OVERHEAD_BYTES = 30
    }
}
