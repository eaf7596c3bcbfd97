package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Problem

/** What the spread asks its surroundings to do. */
sealed interface ReplicationEffect {
    /** Send [message] to [to]; it may be lost. */
    data class Send(
        val to: InstanceId,
        val message: PeerMessage,
    ) : ReplicationEffect

    /** Read a newer document than [after] from the platform, which may wait [waitMs] for one, and report a [ReadResult]. */
    data class Read(
        val kind: DocumentKind,
        val after: Long,
        val waitMs: Long,
    ) : ReplicationEffect

    /** Put [document] in force; [source] is the platform or the peer that it came from. */
    data class Adopt(
        val kind: DocumentKind,
        val document: PublishedDocument,
        val source: String,
    ) : ReplicationEffect

    /** Report that a document from [source] was rejected whole. */
    data class Reject(
        val kind: DocumentKind,
        val source: String,
        val problems: List<Problem>,
    ) : ReplicationEffect
}

/** How a read of the platform ended. */
sealed interface ReadResult {
    /** The platform answered with a document, as a whole. */
    class Document(
        val text: ByteArray,
    ) : ReadResult

    /** The platform has nothing newer; [newest] is the revision that it serves. */
    data class Unchanged(
        val newest: Long,
    ) : ReadResult

    /** The platform did not answer in time, or not as agreed. */
    data object Failed : ReadResult
}

/**
 * The state of the spread in one process: an immutable snapshot.
 *
 * @property configurationRevision the revision of the configuration in force, 0 before the first
 * @property listRevision the revision of the instance list in force, 0 before the first
 * @property freshUntilMs until when the configuration counts as current, on the process's own clock
 * @property reads the number of reads of the platform so far
 * @property isReader whether the process reads the platform for others now
 */
data class ReplicationStatus(
    val configurationRevision: Long,
    val listRevision: Long,
    val freshUntilMs: Long,
    val reads: Long,
    val isReader: Boolean,
) {
    /** Returns whether routes that need a key may be served; ask again at each use. */
    fun isFresh(nowMs: Long): Boolean = nowMs < freshUntilMs
}

/**
 * Durations of the spread, in milliseconds.
 *
 * @property freshnessMs how long the configuration counts as current after the platform or enough peers knew nothing newer
 * @property configurationWatchMs how long one watch of the configuration waits at the platform
 * @property listWatchMs how long one watch of the instance list waits at the platform
 * @property queryIntervalMs the time between two questions to a peer
 * @property maxReadGapMs the time without news of a read after which a process reads for itself
 * @property confirmationIntervalMs the time between two rounds of questions to the cell while no news of a read comes
 * @property fetchTimeoutMs the time after which a document is fetched from another peer
 * @property startupGraceMs how long a started process waits for peers before it trusts the platform alone
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
