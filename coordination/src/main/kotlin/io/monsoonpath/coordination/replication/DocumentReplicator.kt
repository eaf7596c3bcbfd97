package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.ChunksReply
import io.monsoonpath.coordination.message.ChunksRequest
import io.monsoonpath.coordination.message.DocumentDelta
import io.monsoonpath.coordination.message.DocumentRequest
import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.RevisionsNotice
import io.monsoonpath.coordination.message.RevisionsReply
import io.monsoonpath.coordination.message.RevisionsRequest
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Region
import io.monsoonpath.model.ValidationResult
import kotlin.random.Random

/**
 * Replicates the configuration and the instance list to all instances.
 *
 * A few readers in each failure domain watch the platform. Each process notifies peers of documents that it adopts, periodically queries
 * the revisions of a peer, and fetches changed chunks from peers. It becomes a substitute reader when it receives no evidence of a recent
 * platform read. Revisions only increase, and only complete and valid documents are adopted.
 *
 * This class is not thread-safe, except for [status], which may be read from any thread.
 */
class DocumentReplicator(
    private val self: PeerId,
    private val region: Region,
    private val domain: FailureDomain,
    private val startedMs: Long,
    seed: Long,
    private val timing: ReplicationTiming = ReplicationTiming(),
    private val parser: DocumentParser = DocumentParser { kind, text -> kind.parse(text) },
) {
    private val random = Random(seed)
    private val replicas = DocumentKind.entries.associateWith { DocumentReplica(it) }
    private val fetchers = DocumentKind.entries.associateWith { DocumentFetcher(it, replicas.getValue(it), timing.fetchTimeoutMs) }
    private val schedules = DocumentKind.entries.associateWith { ReadSchedule(random) }
    private val freshness = FreshnessTracker(self.id, timing)
    private var topology: Topology? = null
    private var startup: StartupPhase? = StartupPhase(timing.startupGraceMs)
    private var isSubstituteReader = false
    private var substituteFromMs: Long? = null
    private var nextQueryMs = startedMs
    private var nextConfirmationMs = startedMs
    private var nextBackgroundReadMs = startedMs
    private var reads = 0L

    /** The latest immutable snapshot. */
    @Volatile
    var status: ReplicationStatus = snapshot()
        private set

    /** Performs due reads, queries and retries. Must be called about every 50 ms. */
    fun onTick(nowMs: Long): List<ReplicationEffect> =
        step { effects ->
            fetchers.values.forEach { fetcher -> fetcher.restartIfStalled(nowMs)?.let { effects += it } }
            if (startup?.isOver(nowMs) == true) startup = null
            updateSubstituteReader(nowMs)
            readIfDue(nowMs, effects)
            queryPeersIfDue(nowMs, effects)
            requestConfirmationsIfDue(nowMs, effects)
        }

    /** Processes a message from a peer. Messages of other subsystems are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<ReplicationEffect> =
        step { effects ->
            when (message) {
                is RevisionsRequest -> handleRevisionsRequest(nowMs, from, message, effects)
                is RevisionsReply -> handleRevisionsReply(nowMs, from, message, effects)
                is RevisionsNotice -> handleRevisionsNotice(nowMs, from, message.held, effects)
                is DocumentRequest -> handleDocumentRequest(from, message, effects)
                is ChunksRequest -> handleChunksRequest(from, message, effects)
                is DocumentDelta -> handleFetched(nowMs, message.kind, effects) { it.acceptDelta(nowMs, from.id, message) }
                is ChunksReply -> handleFetched(nowMs, message.kind, effects) { it.acceptChunks(nowMs, from.id, message) }
                else -> Unit
            }
        }

    /** Processes the [result] of a read of [kind] that was sent to the platform at [sentMs]. */
    fun onRead(
        nowMs: Long,
        sentMs: Long,
        kind: DocumentKind,
        result: ReadResult,
    ): List<ReplicationEffect> =
        step { effects ->
            val schedule = schedules.getValue(kind)
            val active = replicas.getValue(kind).revision
            when (result) {
                is ReadResult.Document -> handleReadDocument(nowMs, sentMs, kind, result, effects)
                is ReadResult.Unchanged -> {
                    if (result.newest == active) recordOwnRead(sentMs, kind, active) else schedule.recordFailure(nowMs, minPauseMs())
                    if (kind == DocumentKind.INSTANCES && result.newest == 0L) startup?.recordList(nowMs, otherCount = 0)
                }
                ReadResult.Failed -> schedule.recordFailure(nowMs, minPauseMs())
            }
        }

    private inline fun step(act: (MutableList<ReplicationEffect>) -> Unit): List<ReplicationEffect> {
        val effects = ArrayList<ReplicationEffect>()
        act(effects)
        status = snapshot()
        return effects
    }

    private fun handleRevisionsRequest(
        nowMs: Long,
        from: PeerId,
        request: RevisionsRequest,
        effects: MutableList<ReplicationEffect>,
    ) {
        recordPeerRevisions(nowMs, from.id, request.held, effects)
        effects += ReplicationEffect.Send(from.id, RevisionsReply(from.incarnation.value, request.sentAtMs, heldRevisions(nowMs)))
    }

    private fun handleRevisionsReply(
        nowMs: Long,
        from: PeerId,
        reply: RevisionsReply,
        effects: MutableList<ReplicationEffect>,
    ) {
        if (reply.toIncarnation != self.incarnation.value || reply.sentAtMs > nowMs) return
        freshness.recordReply(replicaOf(DocumentKind.CONFIGURATION).revision, from.id, reply.held, reply.sentAtMs)
        startup?.recordReply(from.id)
        recordPeerRevisions(nowMs, from.id, reply.held, effects)
    }

    private fun handleRevisionsNotice(
        nowMs: Long,
        from: PeerId,
        theirs: HeldRevisions,
        effects: MutableList<ReplicationEffect>,
    ) {
        recordPeerRevisions(nowMs, from.id, theirs, effects)
        val isBehind =
            theirs.configuration < replicaOf(DocumentKind.CONFIGURATION).revision ||
                theirs.list < replicaOf(DocumentKind.INSTANCES).revision
        if (isBehind) effects += ReplicationEffect.Send(from.id, RevisionsNotice(heldRevisions(nowMs)))
    }

    private fun recordPeerRevisions(
        nowMs: Long,
        from: InstanceId,
        theirs: HeldRevisions,
        effects: MutableList<ReplicationEffect>,
    ) {
        freshness.recordSeen(theirs.configuration)
        fetchers.getValue(DocumentKind.INSTANCES).recordPeerRevision(nowMs, from, theirs.list)?.let { effects += it }
        fetchers.getValue(DocumentKind.CONFIGURATION).recordPeerRevision(nowMs, from, theirs.configuration)?.let { effects += it }
    }

    private fun handleDocumentRequest(
        from: PeerId,
        request: DocumentRequest,
        effects: MutableList<ReplicationEffect>,
    ) {
        val replica = replicaOrNull(request.kind) ?: return
        if (replica.revision > request.baseRevision) effects += ReplicationEffect.Send(from.id, replica.deltaFrom(request.baseRevision))
    }

    private fun handleChunksRequest(
        from: PeerId,
        request: ChunksRequest,
        effects: MutableList<ReplicationEffect>,
    ) {
        val reply = unpackHashesOrNull(request.hashes)?.let { replicaOrNull(request.kind)?.chunksReply(it) } ?: return
        if (reply.chunks.isNotEmpty()) effects += ReplicationEffect.Send(from.id, reply)
    }

    private inline fun handleFetched(
        nowMs: Long,
        kindNumber: Int,
        effects: MutableList<ReplicationEffect>,
        accept: (DocumentFetcher) -> ReplicationEffect?,
    ) {
        val kind = DocumentKind.entries.getOrNull(kindNumber) ?: return
        val fetcher = fetchers.getValue(kind)
        accept(fetcher)?.let { effects += it }
        val fetched = fetcher.takeCompletedOrNull() ?: return
        adoptIfValid(nowMs, kind, fetched.chunks, fetched.from.value, fetched.revision, effects)
    }

    private fun handleReadDocument(
        nowMs: Long,
        sentMs: Long,
        kind: DocumentKind,
        result: ReadResult.Document,
        effects: MutableList<ReplicationEffect>,
    ) {
        val revision = adoptIfValid(nowMs, kind, splitIntoChunks(result.text), PLATFORM, statedRevision = null, effects)
        val active = replicaOf(kind).revision
        if (revision == active) recordOwnRead(sentMs, kind, active) else schedules.getValue(kind).recordFailure(nowMs, minPauseMs())
    }

    private fun recordOwnRead(
        sentMs: Long,
        kind: DocumentKind,
        revision: Long,
    ) {
        schedules.getValue(kind).recordSuccess(if (topology == null) MIN_READ_GAP_WITHOUT_LIST_MS else MIN_READ_GAP_MS)
        if (kind == DocumentKind.CONFIGURATION) freshness.recordRead(revision, revision, sentMs, self.id)
    }

    /** Adopts the document if it is valid and newer. Returns its revision, or null if it is invalid. */
    private fun adoptIfValid(
        nowMs: Long,
        kind: DocumentKind,
        chunks: List<Chunk>,
        source: String,
        statedRevision: Long?,
        effects: MutableList<ReplicationEffect>,
    ): Long? =
        when (val reading = parser.parse(kind, joinChunks(chunks))) {
            is ValidationResult.Invalid -> {
                statedRevision?.let { fetchers.getValue(kind).reject(it) }
                effects += ReplicationEffect.Reject(kind, source, reading.problems)
                null
            }
            is ValidationResult.Valid -> {
                if (statedRevision != null && statedRevision != reading.document.revision) fetchers.getValue(kind).reject(statedRevision)
                if (reading.document.revision > replicaOf(kind).revision) adopt(nowMs, kind, reading.document, chunks, source, effects)
                reading.document.revision
            }
        }

    private fun adopt(
        nowMs: Long,
        kind: DocumentKind,
        document: PublishedDocument,
        chunks: List<Chunk>,
        source: String,
        effects: MutableList<ReplicationEffect>,
    ) {
        replicaOf(kind).adopt(document.revision, chunks)
        effects += ReplicationEffect.Adopt(kind, document, source)
        when (document) {
            is PublishedDocument.OfConfiguration -> freshness.recordAdoption(document.revision)
            is PublishedDocument.OfInstances -> {
                topology = Topology(document.list, self.id, region, domain)
                startup?.recordList(nowMs, topology?.otherMembers.orEmpty().size)
            }
        }
        notifyPeers(nowMs, source, effects)
    }

    private fun notifyPeers(
        nowMs: Long,
        source: String,
        effects: MutableList<ReplicationEffect>,
    ) {
        val view = topology ?: return
        val targets = if (view.isReader || source == PLATFORM) view.notified else view.otherMembers.shuffled(random).take(NOTIFIED_PEERS)
        targets.filter { it.value != source }.forEach { effects += ReplicationEffect.Send(it, RevisionsNotice(heldRevisions(nowMs))) }
    }

    private fun updateSubstituteReader(nowMs: Long) {
        val view = topology ?: return
        val otherReader = freshness.recentOtherReader(nowMs, timing.maxReadGapMs)
        when {
            otherReader != null && (view.isReader(otherReader) || otherReader < self.id) -> isSubstituteReader = false
            substituteFromMs == null && !isSubstituteReader && freshness.isReadOverdue(nowMs, timing.maxReadGapMs) ->
                substituteFromMs = nowMs + random.nextLong(maxOf(MIN_JITTER_MS, view.size * READ_INTERVAL_PER_MEMBER_MS))
        }
        if (!freshness.isReadOverdue(nowMs, timing.maxReadGapMs)) substituteFromMs = null
        substituteFromMs?.let { if (nowMs >= it) isSubstituteReader = true }
    }

    private fun readIfDue(
        nowMs: Long,
        effects: MutableList<ReplicationEffect>,
    ) {
        val isWatching = topology == null || topology?.isReader == true || isSubstituteReader
        if (!isWatching && nowMs < nextBackgroundReadMs) return
        nextBackgroundReadMs = nowMs + backgroundReadIntervalMs() * 3 / 4 + random.nextLong(backgroundReadIntervalMs() / 2)
        readIfDue(nowMs, DocumentKind.INSTANCES, timing.listWatchMs, effects)
        val arePeersNewer = fetchers.getValue(DocumentKind.CONFIGURATION).newestAtPeers > replicaOf(DocumentKind.CONFIGURATION).revision
        if (startup == null && !(arePeersNewer && replicaOf(DocumentKind.CONFIGURATION).revision == 0L)) {
            readIfDue(nowMs, DocumentKind.CONFIGURATION, timing.configurationWatchMs, effects)
        }
    }

    private fun readIfDue(
        nowMs: Long,
        kind: DocumentKind,
        watchMs: Long,
        effects: MutableList<ReplicationEffect>,
    ) {
        val schedule = schedules.getValue(kind)
        if (!schedule.mayStart(nowMs)) return
        schedule.recordStart(nowMs)
        reads++
        val after = replicaOf(kind).revision
        val shouldWait = startup == null && (topology?.isReader == true || isSubstituteReader)
        effects += ReplicationEffect.Read(kind, after, if (shouldWait) watchMs else 0L)
    }

    /** The interval between reads of a process that is not a reader. They detect that the platform serves stale data to the readers. */
    private fun backgroundReadIntervalMs(): Long = maxOf(MIN_BACKGROUND_READ_MS, (topology?.size ?: 0) * BACKGROUND_READ_PER_MEMBER_MS)

    /** Readers may retry immediately. The pause of other processes bounds their total read rate, independent of the number of instances. */
    private fun minPauseMs(): Long = topology?.takeIf { !it.isReader }?.let { it.size * READ_INTERVAL_PER_MEMBER_MS } ?: 0L

    private fun queryPeersIfDue(
        nowMs: Long,
        effects: MutableList<ReplicationEffect>,
    ) {
        val view = topology ?: return
        if (nowMs < nextQueryMs || view.otherMembers.isEmpty()) return
        val isStarting = startup != null
        nextQueryMs =
            nowMs + if (isStarting) STARTUP_QUERY_MS else timing.queryIntervalMs * 3 / 4 + random.nextLong(timing.queryIntervalMs / 2)
        val targets = if (isStarting) view.otherMembers.shuffled(random).take(STARTUP_QUERY_PEERS) else listOf(queryTarget(view))
        targets.forEach { effects += ReplicationEffect.Send(it, RevisionsRequest(nowMs, heldRevisions(nowMs))) }
    }

    private fun queryTarget(view: Topology): InstanceId {
        val readers = view.domainReaders.ifEmpty { view.allReaders }
        val usesAnyPeer = view.isReader || readers.isEmpty() || random.nextInt(ANY_PEER_QUERY_PERIOD) == 0
        return (if (usesAnyPeer) view.otherMembers else readers).random(random)
    }

    private fun requestConfirmationsIfDue(
        nowMs: Long,
        effects: MutableList<ReplicationEffect>,
    ) {
        val view = topology ?: return
        if (nowMs < nextConfirmationMs || !freshness.isReadOverdue(nowMs, timing.maxReadGapMs) || view.isOnlyCellMember) return
        nextConfirmationMs = nowMs + timing.confirmationIntervalMs
        val requestCount = view.confirmationsNeeded + view.confirmationsNeeded / SPARE_CONFIRMATION_DIVISOR + 1
        view.otherCellMembers
            .shuffled(random)
            .take(requestCount)
            .forEach { effects += ReplicationEffect.Send(it, RevisionsRequest(nowMs, heldRevisions(nowMs))) }
    }

    private fun heldRevisions(nowMs: Long): HeldRevisions {
        val revision = replicaOf(DocumentKind.CONFIGURATION).revision
        val ageMs = freshness.readAgeMs(nowMs, revision)?.takeIf { it <= timing.freshnessMs }
        return HeldRevisions(
            configuration = revision,
            list = replicaOf(DocumentKind.INSTANCES).revision,
            readAgeMs = ageMs,
            reader = if (ageMs == null) null else freshness.reader()?.value,
            canConfirm = startup == null && nowMs - startedMs >= timing.freshnessMs,
        )
    }

    private fun replicaOf(kind: DocumentKind) = replicas.getValue(kind)

    private fun replicaOrNull(kind: Int) = DocumentKind.entries.getOrNull(kind)?.let { replicas.getValue(it) }

    private fun snapshot(): ReplicationStatus {
        val revision = replicaOf(DocumentKind.CONFIGURATION).revision
        return ReplicationStatus(
            configurationRevision = revision,
            listRevision = replicaOf(DocumentKind.INSTANCES).revision,
            freshUntilMs = freshness.freshUntilMs(revision, topology),
            reads = reads,
            isReader = topology?.isReader == true || isSubstituteReader,
        )
    }

    private companion object {
        const val PLATFORM = "platform"
        const val MIN_READ_GAP_MS = 100L
        const val MIN_READ_GAP_WITHOUT_LIST_MS = 500L
        const val MIN_JITTER_MS = 400L
        const val READ_INTERVAL_PER_MEMBER_MS = 20L
        const val MIN_BACKGROUND_READ_MS = 1_000L
        const val BACKGROUND_READ_PER_MEMBER_MS = 250L
        const val NOTIFIED_PEERS = 2
        const val STARTUP_QUERY_PEERS = 3
        const val STARTUP_QUERY_MS = 150L
        const val ANY_PEER_QUERY_PERIOD = 4
        const val SPARE_CONFIRMATION_DIVISOR = 8
    }
}
