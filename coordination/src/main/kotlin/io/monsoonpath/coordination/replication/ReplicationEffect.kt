package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Problem

/** What the spread asks its surroundings to do. */
sealed interface SpreadEffect {
    /** Send [message] to [to]; it may be lost. */
    data class Send(
        val to: InstanceId,
        val message: PeerMessage,
    ) : SpreadEffect

    /** Read a newer document than [after] from the platform, which may wait [waitMs] for one, and report a [ReadResult]. */
    data class Read(
        val kind: DocumentKind,
        val after: Long,
        val waitMs: Long,
    ) : SpreadEffect

    /** Put [document] in force; [source] is the platform or the peer that it came from. */
    data class Adopt(
        val kind: DocumentKind,
        val document: PublishedDocument,
        val source: String,
    ) : SpreadEffect

    /** Report that a document from [source] was rejected whole. */
    data class Reject(
        val kind: DocumentKind,
        val source: String,
        val problems: List<Problem>,
    ) : SpreadEffect
}

/** How a read of the platform ended. */
sealed interface ReadResult {
    /** The platform answered with a document, as a whole. */
    class Whole(
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
 * @property configuration the revision of the configuration in force, 0 before the first
 * @property list the revision of the instance list in force, 0 before the first
 * @property currentUntilMs until when the configuration counts as current, on the process's own clock
 * @property reads the number of reads of the platform so far
 * @property isReader whether the process reads the platform for others now
 */
data class SpreadStatus(
    val configuration: Long,
    val list: Long,
    val currentUntilMs: Long,
    val reads: Long,
    val isReader: Boolean,
) {
    /** Returns whether routes that need a key may be served; ask again at each use. */
    fun isCurrent(nowMs: Long): Boolean = nowMs < currentUntilMs
}

/**
 * Durations of the spread, in milliseconds.
 *
 * @property currencyMs how long the configuration counts as current after the platform or enough peers knew nothing newer
 * @property configurationWatchMs how long one watch of the configuration waits at the platform
 * @property listWatchMs how long one watch of the instance list waits at the platform
 * @property askMs the time between two questions to a peer
 * @property silenceMs the time without news of a read after which a process reads for itself
 * @property vouchMs the time between two rounds of questions to the cell while no news of a read comes
 * @property fetchTimeoutMs the time after which a document is fetched from another peer
 * @property startGraceMs how long a started process waits for peers before it trusts the platform alone
 */
data class SpreadTiming(
    val currencyMs: Long = 2_500,
    val configurationWatchMs: Long = 500,
    val listWatchMs: Long = 2_000,
    val askMs: Long = 500,
    val silenceMs: Long = 1_200,
    val vouchMs: Long = 800,
    val fetchTimeoutMs: Long = 400,
    val startGraceMs: Long = 500,
)
