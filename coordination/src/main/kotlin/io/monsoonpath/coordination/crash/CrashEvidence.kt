package io.monsoonpath.coordination.crash

import io.monsoonpath.model.BackendId
import io.monsoonpath.model.LruMap
import io.monsoonpath.model.PromptPartId

/** Identifies a crash by the incarnation of the backend server that crashed. */
data class CrashId(
    val backend: BackendId,
    val startedAtUnixMs: Long,
)

/**
 * Identifies a report among those of all instances.
 *
 * @property host the host of the reporting instance
 * @property incarnation increases with each start of its process
 * @property number the number of the report among those of the process
 */
data class ReportId(
    val host: String,
    val incarnation: Long,
    val number: Long,
)

/**
 * A request that an instance had sent to a backend server when that crashed.
 *
 * @property sentBeforeMs the time between the sending of the request and the crash, in milliseconds; negative if it was sent afterwards
 * @property parts the parts of its prompt that other requests may share
 */
data class ReportedSuspect(
    val sentBeforeMs: Long,
    val parts: Set<PromptPartId>,
)

/**
 * What one instance knows of a crash. Several instances may report the same crash, each with its own requests.
 *
 * @property atMs the time of the crash by the clock of this process
 */
data class CrashReport(
    val id: ReportId,
    val crash: CrashId,
    val atMs: Long,
    val suspects: List<ReportedSuspect>,
) {
    /** The parts of all suspects. */
    val parts: Set<PromptPartId> get() = suspects.flatMapTo(HashSet()) { it.parts }

    /** The number of parts of all suspects, which may have some in common. */
    val partCount: Int get() = suspects.sumOf { it.parts.size }
}

/** States that requests with [parts] were answered after [crash], so that these parts did not cause it. */
data class Clearance(
    val crash: CrashId,
    val parts: Set<PromptPartId>,
)

/** A part of the evidence of one instance, to be merged into that of another. */
class EvidenceDelta(
    val reports: List<CrashReport> = emptyList(),
    val clearances: List<Clearance> = emptyList(),
) {
    /** Whether there is nothing to merge. */
    val isEmpty: Boolean get() = reports.isEmpty() && clearances.isEmpty()
}

/** All that is known of one crash; [suspects] are without the parts that were cleared. */
class KnownCrash(
    val id: CrashId,
    val atMs: Long,
    val suspects: List<ReportedSuspect>,
)

/**
 * The evidence on crashes of backend servers that all instances share: which requests were at a server when it crashed, and which prompt
 * parts were answered since then.
 *
 * Reports and clearances are only added, until they expire, so instances that exchange them in any order and any number of times reach
 * the same state without agreeing on anything. Not thread-safe.
 *
 * @param retentionMs how long a report is kept after its crash, in milliseconds
 */
class CrashEvidence(
    private val retentionMs: Long = DEFAULT_RETENTION_MS,
) {
    private val reports = LinkedHashMap<ReportId, CrashReport>()
    private val clearedParts = HashMap<CrashId, HashSet<PromptPartId>>()

    /** The crashes in which a part is suspected and not cleared. */
    private val crashesBySuspect = HashMap<PromptPartId, HashSet<CrashId>>()
    private val answeredAtMs = LruMap<PromptPartId, Long>(MAX_ANSWERED_PARTS)
    private val assembly = ReportAssembly(MAX_REPORTED_PARTS)

    /** A hash of all reports and clearances, which is the same on instances with the same evidence; 0 if there is none. */
    var digest: Long = 0
        private set

    /** Merges [delta] at [nowMs] and returns what of it was new, including clearances that follow from earlier answers. */
    fun merge(
        delta: EvidenceDelta,
        nowMs: Long,
    ): EvidenceDelta {
        expire(nowMs)
        val newReports = delta.reports.filter { isCurrent(it, nowMs) && reports.putIfAbsent(it.id, it) == null }
        newReports.forEach(::index)
        delta.clearances.forEach(assembly::addClearance)
        val clearances = (delta.clearances + newReports.map(::clearanceByLaterAnswers)).mapNotNull(::addClearance)
        if (newReports.isNotEmpty()) removeExcess()
        return EvidenceDelta(newReports, clearances)
    }

    /** Merges a [fragment] of a report, which is used when all its fragments were received, and returns what was new. */
    fun merge(
        fragment: ReportFragment,
        nowMs: Long,
    ): EvidenceDelta {
        val report = fragment.report
        if (!isCurrent(report, nowMs)) return EvidenceDelta()
        if (report.id in reports) return merge(EvidenceDelta(clearances = listOf(Clearance(report.crash, fragment.clearedParts))), nowMs)
        return assembly.add(fragment)?.let { merge(it, nowMs) } ?: EvidenceDelta()
    }

    /** Removes the oldest reports if there are too many, or if they have too many parts. */
    private fun removeExcess() {
        var partCount = reports.values.sumOf { it.partCount }
        if (reports.size <= MAX_REPORTS && partCount <= MAX_REPORTED_PARTS) return
        val kept = reports.values.sortedBy { it.atMs }.toMutableList()
        val removed = ArrayList<CrashReport>()
        while (kept.size > MAX_REPORTS || (partCount > MAX_REPORTED_PARTS && kept.size > 1)) {
            removed += kept.removeFirst().also { partCount -= it.partCount }
        }
        removeAll(removed)
    }

    /** Records that a request with [parts] was answered at [nowMs], and returns the clearances that follow. */
    fun recordAnswer(
        parts: Set<PromptPartId>,
        nowMs: Long,
    ): EvidenceDelta {
        parts.forEach { answeredAtMs[it] = nowMs }
        val crashes = parts.flatMapTo(HashSet()) { crashesBySuspect[it].orEmpty() }
        return EvidenceDelta(clearances = crashes.mapNotNull { addClearance(Clearance(it, parts)) })
    }

    /** Returns all crashes, the oldest first. */
    fun crashes(nowMs: Long): List<KnownCrash> {
        expire(nowMs)
        return reports.values
            .groupBy { it.crash }
            .map { (id, group) ->
                val atMs = group.minOf { it.atMs }
                KnownCrash(id, atMs, group.flatMap { suspectsOf(it, atMs) }.mapNotNull { withoutCleared(id, it) })
            }.sortedBy { it.atMs }
    }

    /** Returns the suspects of [report] relative to [crashAtMs]; instances notice a crash at different times. */
    private fun suspectsOf(
        report: CrashReport,
        crashAtMs: Long,
    ) = report.suspects.map { it.copy(sentBeforeMs = it.sentBeforeMs - (report.atMs - crashAtMs)) }

    /** Returns all evidence, for an instance whose digest differs. */
    fun all(nowMs: Long): EvidenceDelta {
        expire(nowMs)
        return EvidenceDelta(reports.values.toList(), clearedParts.map { (crash, parts) -> Clearance(crash, parts.toSet()) })
    }

    private fun isCurrent(
        report: CrashReport,
        nowMs: Long,
    ) = nowMs - report.atMs <= retentionMs

    private fun index(report: CrashReport) {
        digest += hashOf(report.id)
        val cleared = clearedParts.getOrPut(report.crash) { HashSet() }
        for (part in report.parts) if (part !in cleared) crashesBySuspect.getOrPut(part) { HashSet() } += report.crash
    }

    /** Returns the clearance by the answers that this instance has seen since the crash, although the report arrives only now. */
    private fun clearanceByLaterAnswers(report: CrashReport): Clearance =
        Clearance(report.crash, report.parts.filterTo(HashSet()) { part -> (answeredAtMs[part] ?: Long.MIN_VALUE) > report.atMs })

    /** Adds [clearance] and returns its new part, or null if there is none. That of an unknown crash is sent again with its report. */
    private fun addClearance(clearance: Clearance): Clearance? {
        val known = clearedParts[clearance.crash] ?: return null
        val added = clearance.parts.filterTo(HashSet()) { clearance.crash in crashesBySuspect[it].orEmpty() }
        for (part in added) {
            digest += hashOf(clearance.crash, part)
            known += part
            val crashes = crashesBySuspect.getValue(part)
            crashes -= clearance.crash
            if (crashes.isEmpty()) crashesBySuspect.remove(part)
        }
        return if (added.isEmpty()) null else Clearance(clearance.crash, added)
    }

    private fun withoutCleared(
        crash: CrashId,
        suspect: ReportedSuspect,
    ): ReportedSuspect? = suspect.copy(parts = suspect.parts - clearedParts.getValue(crash)).takeIf { it.parts.isNotEmpty() }

    private fun expire(nowMs: Long) {
        assembly.removeIf { !isCurrent(it, nowMs) }
        if (reports.values.any { !isCurrent(it, nowMs) }) removeAll(reports.values.filterNot { isCurrent(it, nowMs) })
    }

    private fun removeAll(removed: List<CrashReport>) {
        removed.forEach { reports.remove(it.id) }
        val crashes = reports.values.mapTo(HashSet()) { it.crash }
        clearedParts.keys.retainAll(crashes)
        crashesBySuspect.values.forEach { it.retainAll(crashes) }
        crashesBySuspect.values.removeIf { it.isEmpty() }
        digest = reports.keys.sumOf(::hashOf) + clearedParts.entries.sumOf { (crash, parts) -> parts.sumOf { hashOf(crash, it) } }
    }

    private companion object {
        /** Longer than the longest quarantine and its trials. */
        const val DEFAULT_RETENTION_MS = 1_200_000L

        /** Bounds memory: a report has a few hundred bytes, unless prompts have very many parts. */
        const val MAX_REPORTS = 256

        /** Bounds memory, at about 200 bytes a part. */
        const val MAX_REPORTED_PARTS = 65_536

        /** More than the parts in use within the seconds that a report takes at most. */
        const val MAX_ANSWERED_PARTS = 4_096
    }
}
