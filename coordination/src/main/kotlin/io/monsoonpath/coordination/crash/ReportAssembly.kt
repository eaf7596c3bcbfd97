package io.monsoonpath.coordination.crash

import io.monsoonpath.model.PromptPartId

/**
 * A part of a report that is too long for one datagram.
 *
 * @property report the report with some of the parts of consecutive suspects
 * @property index the number of this fragment, from 0
 * @property count the number of fragments of the report
 * @property firstSuspect the number of the first suspect of this fragment within the whole report, from 0
 * @property clearedParts the parts of this fragment that were cleared
 */
class ReportFragment(
    val report: CrashReport,
    val index: Int,
    val count: Int,
    val firstSuspect: Int,
    val clearedParts: Set<PromptPartId> = emptySet(),
)

/**
 * Collects the fragments of reports until these are complete.
 *
 * A report is used as a whole: with some of the parts of a suspect only, what it has in common with another seems to be a smaller
 * combination, which sound requests have as well. Not thread-safe.
 *
 * @param maxParts the number of parts of incomplete reports that are kept; the report that was begun first is dropped if there are more
 */
internal class ReportAssembly(
    private val maxParts: Int,
) {
    private class Incomplete(
        val first: ReportFragment,
    ) {
        val suspects = HashMap<Int, ReportedSuspect>()
        val indexes = HashSet<Int>()
        val clearedParts = HashSet<PromptPartId>()

        val partCount: Int get() = suspects.values.sumOf { it.parts.size }

        fun add(fragment: ReportFragment) {
            clearedParts += fragment.clearedParts
            if (!indexes.add(fragment.index)) return
            fragment.report.suspects.forEachIndexed { i, added ->
                suspects.merge(fragment.firstSuspect + i, added) { old, new -> old.copy(parts = old.parts + new.parts) }
            }
        }

        fun complete(): EvidenceDelta? {
            if (indexes.size < first.count) return null
            val report = first.report.copy(suspects = suspects.toSortedMap().values.toList())
            return EvidenceDelta(listOf(report), listOfNotNull(Clearance(report.crash, clearedParts).takeIf { clearedParts.isNotEmpty() }))
        }
    }

    private val incomplete = LinkedHashMap<ReportId, Incomplete>()

    /** Adds [fragment] and returns its report with the clearances if it is complete, else null. */
    fun add(fragment: ReportFragment): EvidenceDelta? {
        val id = fragment.report.id
        val report = incomplete.getOrPut(id) { Incomplete(fragment) }
        // Not split as the first fragment was, so one of them is not from an instance.
        if (fragment.count != report.first.count) return null
        report.add(fragment)
        val complete = report.complete()
        if (complete != null) incomplete -= id else dropExcess()
        return complete
    }

    /** Records that parts of an incomplete report were cleared. */
    fun addClearance(clearance: Clearance) =
        incomplete.values.filter { it.first.report.crash == clearance.crash }.forEach { it.clearedParts += clearance.parts }

    /** Drops the incomplete reports that [isObsolete]. */
    fun removeIf(isObsolete: (CrashReport) -> Boolean) = incomplete.values.removeIf { isObsolete(it.first.report) }

    private fun dropExcess() {
        var parts = incomplete.values.sumOf { it.partCount }
        while (parts > maxParts) {
            val oldest = incomplete.entries.first()
            parts -= oldest.value.partCount
            incomplete -= oldest.key
        }
    }
}
