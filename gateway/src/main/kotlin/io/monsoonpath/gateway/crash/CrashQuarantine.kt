package io.monsoonpath.gateway.crash

import io.monsoonpath.coordination.crash.CrashEvidence
import io.monsoonpath.coordination.crash.CrashId
import io.monsoonpath.coordination.crash.CrashReport
import io.monsoonpath.coordination.crash.EvidenceCodec
import io.monsoonpath.coordination.crash.EvidenceDelta
import io.monsoonpath.coordination.crash.KnownCrash
import io.monsoonpath.coordination.crash.ReportFragment
import io.monsoonpath.coordination.crash.ReportId
import io.monsoonpath.coordination.crash.ReportedSuspect
import io.monsoonpath.coordination.gossip.rendezvousRank
import io.monsoonpath.coordination.message.chunkedBySize
import io.monsoonpath.gateway.Scheduler
import io.monsoonpath.gateway.choice.FleetView
import io.monsoonpath.gateway.log.DecisionLog
import io.monsoonpath.model.ClockMs
import io.monsoonpath.model.PromptPartId
import io.monsoonpath.policy.crash.ObservedCrash
import io.monsoonpath.policy.crash.PromptQuarantine
import io.monsoonpath.policy.crash.SuspectRequest
import io.monsoonpath.policy.crash.TrialSchedule
import io.monsoonpath.policy.crash.findQuarantines

/** Distributes new evidence to the other instances. */
fun interface EvidencePublisher {
    fun publish(delta: EvidenceDelta)
}

/**
 * Keeps requests away from backend servers if their prompts contain what has crashed several servers.
 *
 * All instances share their evidence, so a prompt that crashed a server for one instance is known to all. Must be used on the event loop
 * only.
 *
 * @param host the host of this instance
 * @param incarnation a number that increases with each start of the process
 * @param fleetView returns the current view of the fleet, or null if this instance does not know the fleet yet
 */
class CrashQuarantine(
    private val host: String,
    private val incarnation: Long,
    private val fleetView: () -> FleetView?,
    private val clock: ClockMs,
    private val scheduler: Scheduler,
    private val log: DecisionLog,
) {
    private val evidence = CrashEvidence()
    private val trials = TrialSchedule()
    private val listeners = LinkedHashSet<() -> Unit>()
    private var quarantines: List<PromptQuarantine> = emptyList()

    /** The quarantines in force that were logged, and of which the listeners were notified. */
    private var announced: List<PromptQuarantine> = emptyList()
    private var nextReportNumber = 0L
    private var isRefreshScheduled = false

    /** Receives the evidence that this instance finds. */
    var publisher = EvidencePublisher { }

    /** A hash of the evidence of this instance. */
    val digest: Long get() = evidence.digest

    /** The number of quarantines in force. */
    val size: Int get() = announced.size

    /** Adds [listener], which is called when a quarantine starts. */
    fun addListener(listener: () -> Unit) {
        listeners += listener
    }

    /** Removes [listener]. */
    fun removeListener(listener: () -> Unit) {
        listeners -= listener
    }

    /**
     * Returns the quarantine that forbids to send a request with the prompt [parts], or null if it may be sent.
     *
     * After the end of a quarantine, single requests may be sent as trials; an answer to one of them lifts it.
     */
    fun check(parts: Set<PromptPartId>): PromptQuarantine? {
        val nowMs = clock.nowMs()
        return matching(parts, nowMs)?.takeUnless { trials.mayStart(it, rankFor(it), nowMs) }
    }

    /** Records that a request with the prompt [parts] is being sent, which is a trial if a quarantine matches it. */
    fun recordSend(parts: Set<PromptPartId>) {
        val nowMs = clock.nowMs()
        val quarantine = matching(parts, nowMs) ?: return
        trials.recordStart(quarantine, nowMs)
        log.line("quarantine.trial", "parts" to quarantine.text())
    }

    private fun matching(
        parts: Set<PromptPartId>,
        nowMs: Long,
    ): PromptQuarantine? = quarantines.firstOrNull { it.startsAtMs <= nowMs && it.matches(parts) }

    private fun rankFor(quarantine: PromptQuarantine): Int? = fleetView()?.let { rendezvousRank(quarantine.text(), it.ownHost, it.hosts) }

    /** Records a crash at [atMs] and the requests of this instance that may have caused it. */
    fun recordCrash(
        crash: CrashId,
        atMs: Long,
        suspects: List<ReportedSuspect>,
    ) {
        val reports =
            suspects
                .filter { it.parts.isNotEmpty() }
                .chunked(EvidenceCodec.MAX_SUSPECTS)
                .flatMap { group -> group.chunkedBySize(MAX_PARTS_OF_REPORT) { it.parts.size } }
                .map { CrashReport(ReportId(host, incarnation, nextReportNumber++), crash, atMs, it) }
        spread(evidence.merge(EvidenceDelta(reports), clock.nowMs()))
    }

    /** Records that a request with the prompt [parts] was answered by a backend server that still runs. */
    fun recordAnswer(parts: Set<PromptPartId>) = spread(evidence.recordAnswer(parts, clock.nowMs()))

    /** Merges the evidence [delta] of another instance and returns what of it was new. */
    fun merge(delta: EvidenceDelta): EvidenceDelta = refreshAfter(evidence.merge(delta, clock.nowMs()))

    /** Merges a [fragment] of a report of another instance and returns what of it was new. */
    fun merge(fragment: ReportFragment): EvidenceDelta = refreshAfter(evidence.merge(fragment, clock.nowMs()))

    private fun refreshAfter(added: EvidenceDelta): EvidenceDelta {
        if (!added.isEmpty) scheduleRefresh()
        return added
    }

    /** Returns all evidence of this instance. */
    fun allEvidence(): EvidenceDelta = evidence.all(clock.nowMs())

    private fun spread(added: EvidenceDelta) {
        if (added.isEmpty) return
        publisher.publish(added)
        scheduleRefresh()
    }

    /** Evidence arrives in bursts, as the requests of a crashed server are lost together and others are answered soon after. */
    private fun scheduleRefresh() {
        if (isRefreshScheduled) return
        isRefreshScheduled = true
        scheduler.schedule(REFRESH_DELAY_MS, ::refresh)
    }

    /** Determines the quarantines from all evidence. This follows shortly after each change of the evidence without being called. */
    fun refresh() {
        isRefreshScheduled = false
        val nowMs = clock.nowMs()
        quarantines = findQuarantines(evidence.crashes(nowMs).map(::observe))
        val pending = quarantines.filter { it.startsAtMs > nowMs }
        pending.forEach { scheduler.schedule(it.startsAtMs - nowMs, ::announceChanges) }
        announceChanges()
    }

    private fun observe(crash: KnownCrash) =
        ObservedCrash(
            crash.atMs,
            crash.suspects.map {
                SuspectRequest(crash.atMs - it.sentBeforeMs, it.parts)
            },
        )

    private fun announceChanges() {
        val previous = announced
        announced = quarantines.filter { it.startsAtMs <= clock.nowMs() }
        val started = announced.filter { new -> previous.none { it.parts == new.parts } }
        val ended = previous.filter { old -> announced.none { it.parts == old.parts } }
        for (it in started) {
            log.line("quarantine.started", "parts" to it.text(), "crashes" to it.crashCount, "forMs" to it.endsAtMs - clock.nowMs())
        }
        ended.forEach { log.line("quarantine.ended", "parts" to it.text()) }
        if (started.isNotEmpty()) listeners.toList().forEach { it() }
    }

    private companion object {
        /** Short compared with the time that a quarantine waits for clearances before it starts. */
        const val REFRESH_DELAY_MS = 50L

        /** Far fewer than are kept, so that one report does not displace all others. */
        const val MAX_PARTS_OF_REPORT = 8_192
    }
}

/** Returns the parts of this quarantine as text, in the same order on all instances. */
internal fun PromptQuarantine.text(): String = parts.sorted().joinToString(",")
