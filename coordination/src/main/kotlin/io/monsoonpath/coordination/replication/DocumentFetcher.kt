package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.DocumentChange
import io.monsoonpath.coordination.message.FetchDocument
import io.monsoonpath.coordination.message.FetchParts
import io.monsoonpath.coordination.message.PartsReply
import io.monsoonpath.model.InstanceId

/** Fetches newer documents of one kind from peers: at most one fetch runs, from one peer. */
internal class Fetches(
    private val kind: DocumentKind,
    private val replica: DocumentReplica,
    private val timeoutMs: Long,
) {
    private class Running(
        val from: InstanceId,
        var progressMs: Long,
    ) {
        var revision = 0L
        var hashes = emptyList<PartHash>()
        val found = HashMap<PartHash, Part>()
    }

    private val holders = HashMap<InstanceId, Long>()
    private var running: Running? = null
    private var rejected = 0L

    /** The highest revision that a peer is known to hold. */
    val newestHeld: Long get() = holders.values.maxOrNull() ?: 0L

    /** Notes that [from] holds [revision]; returns the message that starts a fetch, if one is due. */
    fun noteHeld(
        nowMs: Long,
        from: InstanceId,
        revision: Long,
    ): SpreadEffect? {
        holders[from] = revision
        val wanted = revision > replica.revision && revision > rejected
        val isIdle = running.let { it == null || nowMs - it.progressMs >= timeoutMs }
        return if (wanted && isIdle) start(nowMs, from) else null
    }

    /** Returns the message that starts the fetch anew from another peer, if the running one has stalled. */
    fun onTick(nowMs: Long): SpreadEffect? {
        val stalled = running?.takeIf { nowMs - it.progressMs >= timeoutMs } ?: return null
        holders -= stalled.from
        running = null
        val next = holders.entries.filter { it.value > maxOf(replica.revision, rejected) }.minByOrNull { it.key } ?: return null
        return start(nowMs, next.key)
    }

    /** Takes a change; afterwards [wholeOrNull] may have the document. Returns the request for missing parts, if any are. */
    fun onChange(
        nowMs: Long,
        from: InstanceId,
        change: DocumentChange,
    ): SpreadEffect? {
        val fetch = running?.takeIf { it.from == from } ?: return null
        if (change.revision <= maxOf(replica.revision, rejected)) return null
        fetch.hashes = replica.hashesOrNull(change.base)?.let { applyRecipe(change, it) } ?: return null
        fetch.revision = change.revision
        fetch.hashes.forEach { hash -> replica.partOrNull(hash)?.let { fetch.found[hash] = it } }
        change.parts.map { partOf(it.bytes) }.forEach { fetch.found[it.hash] = it }
        return requestMissing(nowMs, fetch)
    }

    /** Takes parts that were requested. */
    fun onParts(
        nowMs: Long,
        from: InstanceId,
        reply: PartsReply,
    ): SpreadEffect? {
        val fetch = running?.takeIf { it.from == from && it.revision > 0 && reply.parts.isNotEmpty() } ?: return null
        reply.parts.map { partOf(it.bytes) }.forEach { fetch.found[it.hash] = it }
        return requestMissing(nowMs, fetch)
    }

    /** Returns the fetched revision with its parts and forgets the fetch, or null as long as parts are missing. */
    fun wholeOrNull(): FetchedDocument? {
        val fetch = running?.takeIf { it.revision > 0 } ?: return null
        val parts = fetch.hashes.map { fetch.found[it] ?: return null }
        running = null
        return FetchedDocument(fetch.revision, parts, fetch.from)
    }

    /** Notes that [revision] is not valid, so that it is not fetched again. */
    fun reject(revision: Long) {
        rejected = maxOf(rejected, revision)
    }

    private fun start(
        nowMs: Long,
        from: InstanceId,
    ): SpreadEffect {
        running = Running(from, nowMs)
        return SpreadEffect.Send(from, FetchDocument(kind.ordinal, replica.revision))
    }

    private fun requestMissing(
        nowMs: Long,
        fetch: Running,
    ): SpreadEffect? {
        fetch.progressMs = nowMs
        val missing =
            fetch.hashes
                .asSequence()
                .filter { it !in fetch.found }
                .distinct()
                .take(MAX_REQUESTED_PARTS)
                .toList()
        return if (missing.isEmpty()) null else SpreadEffect.Send(fetch.from, FetchParts(kind.ordinal, packed(missing)))
    }

    private companion object {
        const val MAX_REQUESTED_PARTS = 256
    }
}

/** A document that was fetched whole from [from]. */
internal class FetchedDocument(
    val revision: Long,
    val parts: List<Part>,
    val from: InstanceId,
)
