package io.monsoonpath.policy.batch

/**
 * A piece of a request's work in a [BatchQueue].
 *
 * @property requestId the request; its pieces are of use only together
 * @property latestStartMs the latest start that keeps the request on time, in milliseconds
 * @property expiresAtMs the time from which the result is of no use, in milliseconds
 * @property resultBytes the memory that the result occupies at the worker, in bytes
 * @property preferredDomain the failure domain that needs the least data transfer, or null if there is no difference
 * @property queuedAtMs the time at which the piece was queued, in milliseconds
 * @property rank the rank of the request; 0 is the most urgent
 * @property isFirstStage whether no stage of the request precedes that of the piece
 * @property inputsUntilMs the time from which an input of the piece may no longer exist, in milliseconds
 */
data class QueuedPiece<T>(
    val item: T,
    val requestId: String,
    val latestStartMs: Long,
    val expiresAtMs: Long,
    val resultBytes: Long,
    val preferredDomain: String? = null,
    val queuedAtMs: Long = 0,
    val rank: Int = 0,
    val isFirstStage: Boolean = true,
    val inputsUntilMs: Long = Long.MAX_VALUE,
)

/**
 * Queues pieces of the requests of all instances for one pool of batching workers. Not thread-safe.
 *
 * Load pattern: a call has a large fixed cost and a small cost per piece. A worker that gets one request per call spends most of its
 * time on overhead, and even a pool with twice the required capacity falls behind. A worker that becomes free therefore gets all
 * waiting pieces up to its batch size: batches grow with the load, and no piece is held back while a worker is idle.
 *
 * Under overload, the pieces that can still be on time are taken first, ordered by their latest start. Late pieces follow, so that one
 * burst does not make every later request late too.
 *
 * Unless [isRanked], the order ignores ranks: an admitted request keeps its turn, and urgent requests are preferred by [decideAdmission].
 * If it is ranked, pieces that can be on time are ordered by rank, those of later stages before those of first stages of the same rank,
 * because the work of the preceding stages is lost if they are late. While less urgent pieces wait, [RESERVED_SHARE]
 * of the taken pieces are less urgent ones, which bounds how long an admitted request can be overtaken.
 *
 * A piece with large inputs waits for a worker in its preferred failure domain, see [domainWaitMs]. After that, a free worker in any
 * domain can take it.
 *
 * @param minDomainWaitMs the minimum time that a piece waits for a worker in its preferred failure domain, in milliseconds
 */
class BatchQueue<T>(
    private val minDomainWaitMs: Long = 0,
) {
    private class ExpectedPieces(
        var count: Int,
        val latestStartMs: Long,
        val rank: Int,
    )

    private val pieces = ArrayList<QueuedPiece<T>>()
    private val expected = HashMap<String, ExpectedPieces>()
    private val arrivals = PieceArrivals()

    /** The number of pieces that the reserve may take from less urgent ranks; negative after a large group. */
    private var reserveCredit = 0.0

    /** Whether pieces are ordered by rank. */
    var isRanked = false

    /** The number of queued pieces. */
    val size: Int get() = pieces.size

    /** Returns the number of queued pieces that can still start in time. */
    fun countOnTime(nowMs: Long): Int = pieces.count { it.latestStartMs >= nowMs }

    /** Returns the number of queued and expected pieces that can still start in time. */
    fun backlog(nowMs: Long): Int {
        expected.values.removeIf { it.latestStartMs < nowMs }
        return countOnTime(nowMs) + expected.values.sumOf { it.count }
    }

    /**
     * Returns for each rank how long a new piece waits, in milliseconds, if the pool takes [msPerPiece] for each piece.
     *
     * @see waitsByRankMs
     */
    fun waitsByRank(
        nowMs: Long,
        msPerPiece: Double,
    ): List<Long> {
        val counts = IntArray(RANKS)
        expected.values.removeIf { it.latestStartMs < nowMs }
        pieces.forEach { if (it.latestStartMs >= nowMs) counts[rankIndex(it.rank)]++ }
        expected.values.forEach { counts[rankIndex(it.rank)] += it.count }
        return waitsByRankMs(counts, arrivals.ratesPerMs(nowMs), msPerPiece)
    }

    /**
     * Counts [count] pieces of [requestId] in the [backlog] before they are added, because they will need the workers too.
     *
     * Load pattern: the requests of a burst pass other pools first. A pool that counts only queued pieces lets requests in for as long as
     * the earlier stages take, and all of these requests are late.
     */
    fun addExpected(
        requestId: String,
        count: Int,
        latestStartMs: Long,
        rank: Int = 0,
        nowMs: Long = 0,
    ) {
        expected.getOrPut(requestId) { ExpectedPieces(0, latestStartMs, rank) }.count += count
        arrivals.record(rank, count, nowMs)
    }

    /** Adds [piece] and reduces the number of expected pieces of its request. */
    fun add(piece: QueuedPiece<T>) {
        pieces += piece
        val expectedOfRequest = expected[piece.requestId] ?: return arrivals.record(piece.rank, 1, piece.queuedAtMs)
        if (--expectedOfRequest.count <= 0) expected.remove(piece.requestId)
    }

    /** Removes and returns the pieces of [requestId], which was cancelled or failed, and drops its expected pieces. */
    fun removeRequest(requestId: String): List<QueuedPiece<T>> {
        expected.remove(requestId)
        return removeAll { it.requestId == requestId }
    }

    /** Returns the items of the queued pieces. */
    fun items(): Sequence<T> = pieces.asSequence().map { it.item }

    /** Removes and returns the pieces whose item matches [predicate]. */
    fun removeItems(predicate: (T) -> Boolean): List<QueuedPiece<T>> = removeAll { predicate(it.item) }

    /** Removes and returns the pieces whose results would be of no use any more. */
    fun removeExpired(nowMs: Long): List<QueuedPiece<T>> = removeAll { it.expiresAtMs <= nowMs }

    /** Removes and returns the pieces whose inputs may no longer exist at [nowMs]. */
    fun removeWithoutInputs(nowMs: Long): List<QueuedPiece<T>> = removeAll { it.inputsUntilMs <= nowMs }

    /**
     * Removes and returns the pieces that have been late for more than [lateMs], if more than [maxOnTime] pieces can still start in time.
     *
     * Load pattern: work arrives faster than the pool completes it. Late pieces are then starved by the others until their callers have
     * left and their inputs have expired, and the work already done for them is lost. If they fail early, their callers can retry.
     */
    fun removeStarved(
        nowMs: Long,
        lateMs: Long,
        maxOnTime: Int,
    ): List<QueuedPiece<T>> = if (countOnTime(nowMs) <= maxOnTime) emptyList() else removeAll { it.latestStartMs + lateMs < nowMs }

    /**
     * Removes and returns the pieces of the next call to a worker in [domain]: at most [maxPieces], with results that fit into
     * [freeBytes].
     *
     * The pieces of a request stay together, unless they need more than [MAX_INDIVISIBLE_SHARE] of the worker: the results of a divided
     * request occupy memory without being of use until its other pieces are done.
     *
     * @param capacityBytes the memory for results of a worker that holds none, in bytes
     * @param extraMs how much longer the worker takes than the fastest one, in milliseconds; a piece that would be late because of that
     * waits for another worker for some time
     */
    fun takeBatch(
        nowMs: Long,
        maxPieces: Int,
        freeBytes: Long,
        domain: String? = null,
        capacityBytes: Long = freeBytes,
        extraMs: Long = 0,
    ): List<QueuedPiece<T>> {
        val builder = BatchBuilder(nowMs, maxPieces, freeBytes, domain, capacityBytes, extraMs)
        pieces.sortWith(compareBy({ it.latestStartMs < nowMs }, { urgencyClassOf(it, nowMs) }, { it.latestStartMs }, { it.requestId }))
        val groups = pieces.groupBy { it.requestId to it.latestStartMs }.values
        pieces.clear()
        if (isRanked) addRanked(ArrayList(groups), builder, nowMs, maxPieces) else groups.forEach { builder.addFrom(it) }
        return builder.batch
    }

    /** Returns the position of [piece] among the on-time pieces; pieces of the same class are ordered by their latest start. */
    private fun urgencyClassOf(
        piece: QueuedPiece<T>,
        nowMs: Long,
    ): Int =
        when {
            !isRanked || piece.latestStartMs < nowMs -> 0
            piece.isFirstStage -> 2 * rankIndex(piece.rank) + 1
            else -> 2 * rankIndex(piece.rank)
        }

    /** Adds the ordered [groups] to [builder], and gives the reserved share to on-time pieces that are less urgent than the first. */
    private fun addRanked(
        groups: MutableList<List<QueuedPiece<T>>>,
        builder: BatchBuilder,
        nowMs: Long,
        maxPieces: Int,
    ) {
        while (groups.isNotEmpty()) {
            val urgentRank = groups.first().first().rank
            val reserved =
                groups.indices
                    .filter { groups[it].first().rank > urgentRank && groups[it].first().latestStartMs >= nowMs }
                    .minByOrNull { groups[it].first().latestStartMs }
            val usesReserve = reserved != null && reserveCredit >= 1
            val count = builder.addFrom(groups.removeAt(if (usesReserve) reserved else 0))
            if (reserved != null) reserveCredit += count * RESERVED_SHARE - if (usesReserve) count else 0
            reserveCredit = minOf(reserveCredit, maxPieces * RESERVED_SHARE)
        }
    }

    /** Collects the pieces of one call. */
    private inner class BatchBuilder(
        private val nowMs: Long,
        private val maxPieces: Int,
        private var freeBytes: Long,
        private val domain: String?,
        private val capacityBytes: Long,
        private val extraMs: Long,
    ) {
        val batch = ArrayList<QueuedPiece<T>>()

        /** Adds the pieces of [group] that can be part of the call, queues the others again, and returns the number of added pieces. */
        fun addFrom(group: List<QueuedPiece<T>>): Int {
            val fittingCount = countFitting(group)
            val count = if (fittingCount == group.size || !isIndivisible(group)) fittingCount else 0
            batch += group.take(count)
            freeBytes -= group.take(count).sumOf { it.resultBytes }
            pieces += group.drop(count)
            return count
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

        private fun isEligible(piece: QueuedPiece<T>) = !isTooSlowFor(piece) && isInDomain(piece)

        private fun isTooSlowFor(piece: QueuedPiece<T>) =
            piece.latestStartMs in nowMs until nowMs + extraMs && nowMs - piece.queuedAtMs < FASTER_WORKER_WAIT_MS

        private fun isInDomain(piece: QueuedPiece<T>) =
            piece.preferredDomain == null ||
                domain == null ||
                piece.preferredDomain == domain ||
                nowMs - piece.queuedAtMs >= domainWaitMs(piece)
    }

    /**
     * Returns the time that [piece] waits for a worker in its preferred failure domain, in milliseconds: a part of its slack, but at
     * least the configured minimum.
     */
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
        /** A larger group would wait too long for a worker with enough free memory. */
        const val MAX_INDIVISIBLE_SHARE = 0.25

        /** About the duration of a call, after which each faster worker has been free once. */
        const val FASTER_WORKER_WAIT_MS = 400L

        /** A chain has up to three stages with queues, and each of them needs some of the slack. */
        const val DOMAIN_SLACK_SHARE = 0.25
    }
}
