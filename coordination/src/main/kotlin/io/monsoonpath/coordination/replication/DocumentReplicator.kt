package io.monsoonpath.coordination.replication

import io.monsoonpath.coordination.PeerId
import io.monsoonpath.coordination.message.AskRevisions
import io.monsoonpath.coordination.message.DocumentChange
import io.monsoonpath.coordination.message.FetchDocument
import io.monsoonpath.coordination.message.FetchParts
import io.monsoonpath.coordination.message.HeldRevisions
import io.monsoonpath.coordination.message.PartsReply
import io.monsoonpath.coordination.message.PeerMessage
import io.monsoonpath.coordination.message.RevisionsAnswer
import io.monsoonpath.coordination.message.RevisionsNotice
import io.monsoonpath.model.FailureDomain
import io.monsoonpath.model.InstanceId
import io.monsoonpath.model.Reading
import io.monsoonpath.model.Region
import kotlin.random.Random

/**
 * Spreads the configuration and the instance list over the instances.
 *
 * Few readers in each failure domain watch the platform. Each process tells others what it adopts, asks peers in turn what they hold,
 * fetches the parts that changed, and reads the platform itself only when no news of a read reaches it. Revisions only rise, and a
 * document counts only whole and valid. The class is for one thread; [status] may be read by any.
 */
class Spread(
    private val self: PeerId,
    private val region: Region,
    private val domain: FailureDomain,
    private val startedMs: Long,
    seed: Long,
    private val timing: SpreadTiming = SpreadTiming(),
    private val reader: DocumentReader = DocumentReader { kind, text -> kind.read(text) },
) {
    private val random = Random(seed)
    private val replicas = DocumentKind.entries.associateWith { DocumentReplica(it) }
    private val fetches = DocumentKind.entries.associateWith { Fetches(it, replicas.getValue(it), timing.fetchTimeoutMs) }
    private val schedules = DocumentKind.entries.associateWith { ReadSchedule(random) }
    private val currency = Currency(self.id, timing)
    private var topology: Topology? = null
    private var startup: Startup? = Startup(timing.startGraceMs)
    private var standsIn = false
    private var standInFromMs: Long? = null
    private var nextAskMs = startedMs
    private var nextVouchMs = startedMs
    private var nextPatrolMs = startedMs
    private var reads = 0L

    /** The latest snapshot; it is replaced, never changed. */
    @Volatile
    var status: SpreadStatus = publish()
        private set

    /** Reads, asks and repeats as far as it is due; call it every 50 ms or so. */
    fun onTick(nowMs: Long): List<SpreadEffect> =
        step { effects ->
            fetches.values.forEach { fetch -> fetch.onTick(nowMs)?.let { effects += it } }
            if (startup?.isOver(nowMs) == true) startup = null
            updateStandIn(nowMs)
            readIfDue(nowMs, effects)
            askIfDue(nowMs, effects)
            askForVouchesIfDue(nowMs, effects)
        }

    /** Takes a message from a peer; messages of other concepts are ignored. */
    fun onMessage(
        nowMs: Long,
        from: PeerId,
        message: PeerMessage,
    ): List<SpreadEffect> =
        step { effects ->
            when (message) {
                is AskRevisions -> onAsk(nowMs, from, message, effects)
                is RevisionsAnswer -> onAnswer(nowMs, from, message, effects)
                is RevisionsNotice -> onNotice(nowMs, from, message.held, effects)
                is FetchDocument -> onFetch(from, message, effects)
                is FetchParts -> onFetchParts(from, message, effects)
                is DocumentChange -> onFetched(nowMs, message.kind, effects) { it.onChange(nowMs, from.id, message) }
                is PartsReply -> onFetched(nowMs, message.kind, effects) { it.onParts(nowMs, from.id, message) }
                else -> Unit
            }
        }

    /** Takes the [result] of the read of [kind] that was sent to the platform at [sentMs]. */
    fun onRead(
        nowMs: Long,
        sentMs: Long,
        kind: DocumentKind,
        result: ReadResult,
    ): List<SpreadEffect> =
        step { effects ->
            val schedule = schedules.getValue(kind)
            val inForce = replicas.getValue(kind).revision
            when (result) {
                is ReadResult.Whole -> onWhole(nowMs, sentMs, kind, result, effects)
                is ReadResult.Unchanged -> {
                    if (result.newest == inForce) noteOwnRead(sentMs, kind, inForce) else schedule.failed(nowMs, leastPauseMs())
                    if (kind == DocumentKind.INSTANCES && result.newest == 0L) startup?.noteList(nowMs, others = 0)
                }
                ReadResult.Failed -> schedule.failed(nowMs, leastPauseMs())
            }
        }

    private inline fun step(act: (MutableList<SpreadEffect>) -> Unit): List<SpreadEffect> {
        val effects = ArrayList<SpreadEffect>()
        act(effects)
        status = publish()
        return effects
    }

    private fun onAsk(
        nowMs: Long,
        from: PeerId,
        ask: AskRevisions,
        effects: MutableList<SpreadEffect>,
    ) {
        noteHeld(nowMs, from.id, ask.held, effects)
        effects += SpreadEffect.Send(from.id, RevisionsAnswer(from.incarnation.value, ask.sentAtMs, held(nowMs)))
    }

    private fun onAnswer(
        nowMs: Long,
        from: PeerId,
        answer: RevisionsAnswer,
        effects: MutableList<SpreadEffect>,
    ) {
        if (answer.to != self.incarnation.value || answer.sentAtMs > nowMs) return
        currency.noteAnswer(replicaOf(DocumentKind.CONFIGURATION).revision, from.id, answer.held, answer.sentAtMs)
        startup?.noteAnswer(from.id)
        noteHeld(nowMs, from.id, answer.held, effects)
    }

    private fun onNotice(
        nowMs: Long,
        from: PeerId,
        theirs: HeldRevisions,
        effects: MutableList<SpreadEffect>,
    ) {
        noteHeld(nowMs, from.id, theirs, effects)
        val isBehind =
            theirs.configuration < replicaOf(DocumentKind.CONFIGURATION).revision ||
                theirs.list < replicaOf(DocumentKind.INSTANCES).revision
        if (isBehind) effects += SpreadEffect.Send(from.id, RevisionsNotice(held(nowMs)))
    }

    private fun noteHeld(
        nowMs: Long,
        from: InstanceId,
        theirs: HeldRevisions,
        effects: MutableList<SpreadEffect>,
    ) {
        currency.noteHeard(theirs.configuration)
        fetches.getValue(DocumentKind.INSTANCES).noteHeld(nowMs, from, theirs.list)?.let { effects += it }
        fetches.getValue(DocumentKind.CONFIGURATION).noteHeld(nowMs, from, theirs.configuration)?.let { effects += it }
    }

    private fun onFetch(
        from: PeerId,
        fetch: FetchDocument,
        effects: MutableList<SpreadEffect>,
    ) {
        val replica = replicaOrNull(fetch.kind) ?: return
        if (replica.revision > fetch.have) effects += SpreadEffect.Send(from.id, replica.changeFrom(fetch.have))
    }

    private fun onFetchParts(
        from: PeerId,
        fetch: FetchParts,
        effects: MutableList<SpreadEffect>,
    ) {
        val reply = unpackedOrNull(fetch.hashes)?.let { replicaOrNull(fetch.kind)?.reply(it) } ?: return
        if (reply.parts.isNotEmpty()) effects += SpreadEffect.Send(from.id, reply)
    }

    private inline fun onFetched(
        nowMs: Long,
        kindNumber: Int,
        effects: MutableList<SpreadEffect>,
        take: (Fetches) -> SpreadEffect?,
    ) {
        val kind = DocumentKind.entries.getOrNull(kindNumber) ?: return
        val fetch = fetches.getValue(kind)
        take(fetch)?.let { effects += it }
        val whole = fetch.wholeOrNull() ?: return
        offer(nowMs, kind, whole.parts, whole.from.value, whole.revision, effects)
    }

    private fun onWhole(
        nowMs: Long,
        sentMs: Long,
        kind: DocumentKind,
        result: ReadResult.Whole,
        effects: MutableList<SpreadEffect>,
    ) {
        val revision = offer(nowMs, kind, partsOf(result.text), PLATFORM, statedRevision = null, effects)
        val inForce = replicaOf(kind).revision
        if (revision == inForce) noteOwnRead(sentMs, kind, inForce) else schedules.getValue(kind).failed(nowMs, leastPauseMs())
    }

    private fun noteOwnRead(
        sentMs: Long,
        kind: DocumentKind,
        revision: Long,
    ) {
        schedules.getValue(kind).succeeded(if (topology == null) NO_LIST_GAP_MS else MIN_READ_GAP_MS)
        if (kind == DocumentKind.CONFIGURATION) currency.noteRead(revision, revision, sentMs, self.id)
    }

    /** Puts the document in force if it is valid and newer; returns its revision, or null if it is not valid. */
    private fun offer(
        nowMs: Long,
        kind: DocumentKind,
        parts: List<Part>,
        source: String,
        statedRevision: Long?,
        effects: MutableList<SpreadEffect>,
    ): Long? =
        when (val reading = reader.read(kind, textOf(parts))) {
            is Reading.Invalid -> {
                statedRevision?.let { fetches.getValue(kind).reject(it) }
                effects += SpreadEffect.Reject(kind, source, reading.problems)
                null
            }
            is Reading.Valid -> {
                if (statedRevision != null && statedRevision != reading.document.revision) fetches.getValue(kind).reject(statedRevision)
                if (reading.document.revision > replicaOf(kind).revision) adopt(nowMs, kind, reading.document, parts, source, effects)
                reading.document.revision
            }
        }

    private fun adopt(
        nowMs: Long,
        kind: DocumentKind,
        document: PublishedDocument,
        parts: List<Part>,
        source: String,
        effects: MutableList<SpreadEffect>,
    ) {
        replicaOf(kind).adopt(document.revision, parts)
        effects += SpreadEffect.Adopt(kind, document, source)
        when (document) {
            is PublishedDocument.OfConfiguration -> currency.noteAdopted(document.revision)
            is PublishedDocument.OfInstances -> {
                topology = Topology(document.list, self.id, region, domain)
                startup?.noteList(nowMs, topology?.others.orEmpty().size)
            }
        }
        tellOthers(nowMs, source, effects)
    }

    private fun tellOthers(
        nowMs: Long,
        source: String,
        effects: MutableList<SpreadEffect>,
    ) {
        val places = topology ?: return
        val told = if (places.isReader || source == PLATFORM) places.audience else places.others.shuffled(random).take(NOTICES)
        told.filter { it.value != source }.forEach { effects += SpreadEffect.Send(it, RevisionsNotice(held(nowMs))) }
    }

    private fun updateStandIn(nowMs: Long) {
        val places = topology ?: return
        val other = currency.othersRead(nowMs, timing.silenceMs)
        when {
            other != null && (places.isReader(other) || other < self.id) -> standsIn = false
            standInFromMs == null && !standsIn && currency.isSilent(nowMs, timing.silenceMs) ->
                standInFromMs = nowMs + random.nextLong(maxOf(MIN_JITTER_MS, places.size * READ_SHARE_MS))
        }
        if (!currency.isSilent(nowMs, timing.silenceMs)) standInFromMs = null
        standInFromMs?.let { if (nowMs >= it) standsIn = true }
    }

    private fun readIfDue(
        nowMs: Long,
        effects: MutableList<SpreadEffect>,
    ) {
        val watches = topology == null || topology?.isReader == true || standsIn
        if (!watches && nowMs < nextPatrolMs) return
        nextPatrolMs = nowMs + patrolMs() * 3 / 4 + random.nextLong(patrolMs() / 2)
        readIfDue(nowMs, DocumentKind.INSTANCES, timing.listWatchMs, effects)
        val peersKnowNewer = fetches.getValue(DocumentKind.CONFIGURATION).newestHeld > replicaOf(DocumentKind.CONFIGURATION).revision
        if (startup == null && !(peersKnowNewer && replicaOf(DocumentKind.CONFIGURATION).revision == 0L)) {
            readIfDue(nowMs, DocumentKind.CONFIGURATION, timing.configurationWatchMs, effects)
        }
    }

    private fun readIfDue(
        nowMs: Long,
        kind: DocumentKind,
        watchMs: Long,
        effects: MutableList<SpreadEffect>,
    ) {
        val schedule = schedules.getValue(kind)
        if (!schedule.mayStart(nowMs)) return
        schedule.started(nowMs)
        reads++
        val after = replicaOf(kind).revision
        val waits = startup == null && (topology?.isReader == true || standsIn)
        effects += SpreadEffect.Read(kind, after, if (waits) watchMs else 0L)
    }

    /** The time between two reads of a process that does not watch, which finds out if the readers are served an old state. */
    private fun patrolMs(): Long = maxOf(MIN_PATROL_MS, (topology?.size ?: 0) * PATROL_SHARE_MS)

    /** Readers may retry at once; the others share a rate of reads that does not grow with the number of instances. */
    private fun leastPauseMs(): Long = topology?.takeIf { !it.isReader }?.let { it.size * READ_SHARE_MS } ?: 0L

    private fun askIfDue(
        nowMs: Long,
        effects: MutableList<SpreadEffect>,
    ) {
        val places = topology ?: return
        if (nowMs < nextAskMs || places.others.isEmpty()) return
        val isStarting = startup != null
        nextAskMs = nowMs + if (isStarting) START_ASK_MS else timing.askMs * 3 / 4 + random.nextLong(timing.askMs / 2)
        val targets = if (isStarting) places.others.shuffled(random).take(START_PEERS) else listOf(askTarget(places))
        targets.forEach { effects += SpreadEffect.Send(it, AskRevisions(nowMs, held(nowMs))) }
    }

    private fun askTarget(places: Topology): InstanceId {
        val readers = places.ownReaders.ifEmpty { places.allReaders }
        val probesAny = places.isReader || readers.isEmpty() || random.nextInt(PROBE_EVERY) == 0
        return (if (probesAny) places.others else readers).random(random)
    }

    private fun askForVouchesIfDue(
        nowMs: Long,
        effects: MutableList<SpreadEffect>,
    ) {
        val places = topology ?: return
        if (nowMs < nextVouchMs || !currency.isSilent(nowMs, timing.silenceMs) || places.isAlone) return
        nextVouchMs = nowMs + timing.vouchMs
        val asked = places.vouchesNeeded + places.vouchesNeeded / SPARE_VOUCHES + 1
        places.cellOthers
            .shuffled(random)
            .take(asked)
            .forEach { effects += SpreadEffect.Send(it, AskRevisions(nowMs, held(nowMs))) }
    }

    private fun held(nowMs: Long): HeldRevisions {
        val revision = replicaOf(DocumentKind.CONFIGURATION).revision
        val ageMs = currency.readAgeMs(nowMs, revision)?.takeIf { it <= timing.currencyMs }
        return HeldRevisions(
            configuration = revision,
            list = replicaOf(DocumentKind.INSTANCES).revision,
            readAgeMs = ageMs,
            reader = if (ageMs == null) null else currency.reader()?.value,
            settled = startup == null && nowMs - startedMs >= timing.currencyMs,
        )
    }

    private fun replicaOf(kind: DocumentKind) = replicas.getValue(kind)

    private fun replicaOrNull(kind: Int) = DocumentKind.entries.getOrNull(kind)?.let { replicas.getValue(it) }

    private fun publish(): SpreadStatus {
        val revision = replicaOf(DocumentKind.CONFIGURATION).revision
        return SpreadStatus(
            configuration = revision,
            list = replicaOf(DocumentKind.INSTANCES).revision,
            currentUntilMs = currency.currentUntilMs(revision, topology),
            reads = reads,
            isReader = topology?.isReader == true || standsIn,
        )
    }

    private companion object {
        const val PLATFORM = "platform"
        const val MIN_READ_GAP_MS = 100L
        const val NO_LIST_GAP_MS = 500L
        const val MIN_JITTER_MS = 400L
        const val READ_SHARE_MS = 20L
        const val MIN_PATROL_MS = 1_000L
        const val PATROL_SHARE_MS = 250L
        const val NOTICES = 2
        const val START_PEERS = 3
        const val START_ASK_MS = 150L
        const val PROBE_EVERY = 4
        const val SPARE_VOUCHES = 8
    }
}
