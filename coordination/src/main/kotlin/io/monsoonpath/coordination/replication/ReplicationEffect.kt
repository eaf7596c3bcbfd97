package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Problem

/** An action that [DocumentReplicator] asks its caller to perform. */
sealed interface ReplicationEffect {
    /** Send [message] to [to]. Delivery is not guaranteed. */
    data class Send(
        val to: InstanceId,
        val message: PeerMessage,
    ) : ReplicationEffect

    /** Read a document newer than [after] from the platform and report a [ReadResult]. The platform may wait [waitMs] for one. */
    data class Read(
        val kind: DocumentKind,
        val after: Long,
        val waitMs: Long,
    ) : ReplicationEffect

    /** Apply [document]. [source] is the platform or the peer that sent it. */
    data class Adopt(
        val kind: DocumentKind,
        val document: PublishedDocument,
        val source: String,
    ) : ReplicationEffect

    /** Report that an invalid document from [source] was rejected. */
    data class Reject(
        val kind: DocumentKind,
        val source: String,
        val problems: List<Problem>,
    ) : ReplicationEffect
}

/** The result of a platform read. */
sealed interface ReadResult {
    /** The platform returned a complete document. */
    class Document(
        val text: ByteArray,
    ) : ReadResult

    /** The platform has no newer document. [newest] is the revision that it serves. */
    data class Unchanged(
        val newest: Long,
    ) : ReadResult

    /** The platform did not respond in time, or its response was invalid. */
    data object Failed : ReadResult
}

/**
 * An immutable snapshot of the replication state of one process.
 *
 * @property configurationRevision the active revision of the configuration, or 0 if there is none
 * @property listRevision the active revision of the instance list, or 0 if there is none
 * @property freshUntilMs the time until which the configuration counts as fresh, on the local clock
 * @property reads the number of platform reads so far
 * @property isReader whether the process currently acts as a reader or substitute reader
 */
data class ReplicationStatus(
    val configurationRevision: Long,
    val listRevision: Long,
    val freshUntilMs: Long,
    val reads: Long,
    val isReader: Boolean,
) {
    /** Returns whether routes that require a key may be served. Must be checked for each request. */
    fun isFresh(nowMs: Long): Boolean = nowMs < freshUntilMs
}

/**
 * Durations of document replication, in milliseconds.
 *
 * @property freshnessMs how long the configuration counts as fresh after the platform or a quorum had nothing newer
 * @property configurationWatchMs the wait time of a long-polling read of the configuration
 * @property listWatchMs the wait time of a long-polling read of the instance list
 * @property queryIntervalMs the mean interval between revision queries to a peer
 * @property maxReadGapMs the age of the latest recorded platform read after which a process schedules itself as a substitute reader
 * @property confirmationIntervalMs the interval between confirmation requests to the cell while no recent platform read is recorded
 * @property fetchTimeoutMs the time without progress after which a document is fetched from another peer
 * @property startupGraceMs how long a started process waits for replies from peers before it relies on the platform alone
 */
data class ReplicationTiming(
    val freshnessMs: Long = 2_500,
    val configurationWatchMs: Long = 500,
    val listWatchMs: Long = 2_000,
    val queryIntervalMs: Long = 500,
    val maxReadGapMs: Long = 1_200,
    val confirmationIntervalMs: Long = 800,
    val fetchTimeoutMs: Long = 400,
    val startupGraceMs: Long = 500,
)
