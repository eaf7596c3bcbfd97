package io.monsoonpath.policy.batch

/**
 * What the queue knows of one piece of work.
 *
 * @property requestId groups pieces that are of use only together
 * @property latestStartMs the latest start that keeps its request on time, in milliseconds
 * @property expiresAtMs when the result is no longer of use, in milliseconds
 * @property resultBytes the memory that the result takes at the worker
 * @property preferredDomain the failure domain in which it moves the least, or null if that is all the same
 * @property queuedAtMs when it was queued, in milliseconds
 */
data class QueuedPiece<T>(
    val item: T,
    val requestId: String,
    val latestStartMs: Long,
    val expiresAtMs: Long,
    val resultBytes: Long,
    val preferredDomain: String? = null,
    val queuedAtMs: Long = 0,
)

/**
 * Pieces of one pool of batching workers, from the requests of all instances.
 *
 * Load pattern: a call costs a large fixed time and little for each piece, so a worker that is fed one request at a time spends most of
 * its time on overhead and a pool with twice the capacity that is asked falls behind. A worker therefore takes all that waits, up to
 * its batch, whenever it becomes free: batches grow with the load by themselves, and nothing is held back while a worker is idle.
 *
 * Under overload the pieces that can still be on time go first, in the order of their latest start; those that can't follow, so that
 * one burst does not make every later request late too. Ranks don't count here: a request that was admitted has been promised its
 * turn, and [decideAdmission] is where the urgent ones are preferred.
 *
 * A piece with large inputs waits for a worker of its own failure domain, but for no longer than a part of a call or of the time that
 * it can spare: a free worker elsewhere then takes it.
 *
 * @param minDomainWaitMs how long a piece waits at least for a worker of its failure domain, in milliseconds
 */
class BatchQueue<T>(
    private val minDomainWaitMs: Long = 0,
) {
    private class ExpectedPieces(
        var count: Int,
        val latestStartMs: Long,
    )

    private val pieces = ArrayList<QueuedPiece<T>>()
    private val expected = HashMap<String, ExpectedPieces>()

    /** The pieces that wait. */
    val size: Int get() = pieces.size

    /** Returns how many pieces can still start in time. */
    fun countOnTime(nowMs: Long): Int = pieces.count { it.latestStartMs >= nowMs }

    /** Returns how many pieces wait or are expected and can still start in time. */
    fun backlog(nowMs: Long): Int {
        expected.values.removeIf { it.latestStartMs < nowMs }
        return countOnTime(nowMs) + expected.values.sumOf { it.count }
    }

    /**
     * Counts [count] pieces of [requestId] with those that wait until they come, since they will need the workers too.
     *
     * Load pattern: a burst whose requests pass other pools first. A pool that counts only what has reached it lets everything in
     * for as long as the stages before it take, and all of that is late.
     */
    fun addExpected(
        requestId: String,
        count: Int,
        latestStartMs: Long,
    ) {
        expected.getOrPut(requestId) { ExpectedPieces(0, latestStartMs) }.count += count
    }

    /** Adds [piece], which is no longer expected. */
    fun add(piece: QueuedPiece<T>) {
        pieces += piece
        val expectedOfRequest = expected[piece.requestId] ?: return
        if (--expectedOfRequest.count <= 0) expected.remove(piece.requestId)
    }

    /** Removes and returns the pieces of [requestId], whose caller has left or which has failed; no more of it are expected. */
    fun removeRequest(requestId: String): List<QueuedPiece<T>> {
        expected.remove(requestId)
        return removeAll { it.requestId == requestId }
    }

    /** Removes and returns the pieces whose results would come too late. */
    fun removeExpired(nowMs: Long): List<QueuedPiece<T>> = removeAll { it.expiresAtMs <= nowMs }

    /**
     * Removes and returns the pieces that have been late for [lateMs], if more than [maxOnTime] pieces that can be on time wait.
     *
     * Load pattern: more arrives than the pool bears. Late pieces then starve behind the others until their callers have left and their
     * inputs have expired, and what was done for them is lost: failing them early frees their callers to come back.
     */
    fun removeStarved(
        nowMs: Long,
        lateMs: Long,
        maxOnTime: Int,
    ): List<QueuedPiece<T>> = if (countOnTime(nowMs) <= maxOnTime) emptyList() else removeAll { it.latestStartMs + lateMs < nowMs }

    /**
     * Removes and returns the pieces of the next call of a worker in [domain]: at most [maxPieces], whose results fit into
     * [freeBytes].
     *
     * The pieces of a request go together, but for those that need more than [MAX_INDIVISIBLE_SHARE] of the worker: pieces that are made while
     * others of their request wait hold room for nothing.
     *
     * @param capacityBytes the room of a worker that holds no results
     */
    fun takeBatch(
        nowMs: Long,
        maxPieces: Int,
        freeBytes: Long,
        domain: String? = null,
        capacityBytes: Long = freeBytes,
    ): List<QueuedPiece<T>> {
        val builder = BatchBuilder(nowMs, maxPieces, freeBytes, domain, capacityBytes)
        pieces.sortWith(compareBy({ it.latestStartMs < nowMs }, { it.latestStartMs }, { it.requestId }))
        val groups = pieces.groupBy { it.requestId to it.latestStartMs }.values
        pieces.clear()
        groups.forEach(builder::addFrom)
        return builder.batch
    }

    /** The pieces that one worker gets. */
    private inner class BatchBuilder(
        private val nowMs: Long,
        private val maxPieces: Int,
        private var freeBytes: Long,
        private val domain: String?,
        private val capacityBytes: Long,
    ) {
        val batch = ArrayList<QueuedPiece<T>>()

        /** Takes what it can of [group]; the rest stays in the queue. */
        fun addFrom(group: List<QueuedPiece<T>>) {
            val fittingCount = countFitting(group)
            val count = if (fittingCount == group.size || !isIndivisible(group)) fittingCount else 0
            batch += group.take(count)
            freeBytes -= group.take(count).sumOf { it.resultBytes }
            pieces += group.drop(count)
        }

        private fun countFitting(group: List<QueuedPiece<T>>): Int {
            var remainingBytes = freeBytes
            return group
                .take(maxPieces - batch.size)
                .takeWhile { piece ->
                    remainingBytes -= piece.resultBytes
                    remainingBytes >= 0 && isEligible(piece)
                }.size
        }

        private fun isIndivisible(group: List<QueuedPiece<T>>) =
            group.size <= maxPieces * MAX_INDIVISIBLE_SHARE && group.sumOf { it.resultBytes } <= capacityBytes * MAX_INDIVISIBLE_SHARE

        private fun isEligible(piece: QueuedPiece<T>) =
            piece.preferredDomain == null ||
                domain == null ||
                piece.preferredDomain == domain ||
                nowMs - piece.queuedAtMs >= domainWaitMs(piece)
    }

    /** Returns how long [piece] waits for a worker of its failure domain, in milliseconds. */
    fun domainWaitMs(piece: QueuedPiece<T>): Long =
        maxOf(minDomainWaitMs, ((piece.latestStartMs - piece.queuedAtMs) * DOMAIN_SLACK_SHARE).toLong())

    private fun removeAll(predicate: (QueuedPiece<T>) -> Boolean): List<QueuedPiece<T>> {
        val (removed, kept) = pieces.partition(predicate)
        if (removed.isEmpty()) return removed
        pieces.clear()
        pieces += kept
        return removed
    }

    private companion object {
        /** Larger groups would wait too long for a worker with so much room. */
        const val MAX_INDIVISIBLE_SHARE = 0.25

        /** A chain has up to three stages that may wait, and needs some of its slack for queues. */
        const val DOMAIN_SLACK_SHARE = 0.25
    }
}
