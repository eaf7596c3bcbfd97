package io.monsoonpath.policy.crash

import io.monsoonpath.model.PromptPartId

/**
 * A request that may have crashed a backend server: the server had not yet proven that it can answer it.
 *
 * @property parts the parts of its prompt that other requests may share and that no answer has cleared
 */
class SuspectRequest(
    val sentAtMs: Long,
    val parts: Set<PromptPartId>,
)

/** A crash of a backend server, with all [suspects] that are known. */
class ObservedCrash(
    val atMs: Long,
    val suspects: List<SuspectRequest>,
)

/**
 * A combination of prompt parts that crashes backend servers. Requests whose prompts contain all [parts] are not sent.
 *
 * @property crashCount the number of crashes that the combination explains
 * @property startsAtMs the time from which the quarantine applies
 * @property lastCrashAtMs the time of the newest crash that it explains
 * @property endsAtMs the time from which a single request may be sent as a trial
 */
data class PromptQuarantine(
    val parts: Set<PromptPartId>,
    val crashCount: Int,
    val startsAtMs: Long,
    val lastCrashAtMs: Long,
    val endsAtMs: Long,
) {
    /** Returns whether a prompt with the given [promptParts] contains all parts of this quarantine. */
    fun matches(promptParts: Collection<PromptPartId>): Boolean = promptParts.containsAll(parts)
}

/** The limits of [findQuarantines]. */
data class CrashAttributionLimits(
    /** The number of crashes that establish a cause if nothing else explains them. A single crash proves nothing. */
    val minCrashes: Int = 2,
    /** The number of crashes that establish a cause even if another explains them as well, or if there are many suspects. */
    val certainCrashes: Int = 3,
    /** The least sum over the crashes of one divided by the number of suspects, below which [certainCrashes] are needed. */
    val minWeight: Double = 0.5,
    /**
     * By how much the time of a crash may be wrong, in milliseconds. Times come from other instances as ages, without the time that the
     * message took, and a retry is sent in the same moment in which its first attempt crashes a server.
     */
    val toleranceMs: Long = 50,
    /** How long a quarantine waits for answers that clear parts in frequent use, in milliseconds. */
    val settleMs: Long = 300,
    /** The duration of a quarantine from its last crash, in milliseconds; doubled for each crash beyond [minCrashes]. */
    val quarantineMs: Long = 60_000,
    val maxQuarantineMs: Long = 600_000,
)

/**
 * Attributes crashes of backend servers to the prompts of the requests that they were about to answer.
 *
 * Load pattern: one part of a prompt crashes each server that begins to answer it. Requests with that part have other parts, too, which
 * sound requests share, and servers crash for other reasons at the same time. A part is therefore suspected only as long as no request
 * that contains it was answered, and the cause is the combination of parts that the suspects of several crashes have in common. It is the
 * whole combination, so that sound requests with only some of the parts are still sent, and clear these parts by their answers.
 *
 * A crash counts only if its suspect was sent after the previous crash that counts, as far as can be told. The crashes of servers that
 * fail at the same moment for another reason, such as the loss of a failure domain, therefore count as one.
 *
 * Deterministic: instances with the same crashes find the same quarantines, except for differences of their clocks.
 */
fun findQuarantines(
    crashes: List<ObservedCrash>,
    limits: CrashAttributionLimits = CrashAttributionLimits(),
): List<PromptQuarantine> {
    val quarantines = ArrayList<PromptQuarantine>()
    var unexplained = crashes.sortedBy { it.atMs }
    while (true) {
        val hypotheses = hypothesesOf(unexplained, limits).filter { it.isEstablished(limits) }.sortedWith(MOST_LIKELY_FIRST)
        val best = hypotheses.firstOrNull { it.isOnlyExplanation(hypotheses, limits) } ?: return quarantines
        quarantines += best.toQuarantine(limits)
        unexplained = unexplained - best.explained.toSet()
    }
}

/**
 * The hypothesis that the combination [parts] causes crashes.
 *
 * @property explained all crashes with a suspect that contains the combination
 * @property counted those of them whose suspect was sent after the previous one
 */
private class Hypothesis(
    val parts: Set<PromptPartId>,
    val explained: List<ObservedCrash>,
    val counted: List<ObservedCrash>,
) {
    val weight = counted.sumOf { 1.0 / it.suspects.size }

    fun isEstablished(limits: CrashAttributionLimits) =
        counted.size >= limits.certainCrashes || (counted.size >= limits.minCrashes && weight >= limits.minWeight)

    /**
     * Returns whether no other of the [hypotheses] explains the same crashes as well, or the number of crashes rules out chance. A part of
     * this combination is no competitor: the combination rejects only some of the requests that the part would.
     */
    fun isOnlyExplanation(
        hypotheses: List<Hypothesis>,
        limits: CrashAttributionLimits,
    ) = counted.size >= limits.certainCrashes ||
        hypotheses.none { it.counted.size >= counted.size && !parts.containsAll(it.parts) && it.explained.any(explained::contains) }

    fun toQuarantine(limits: CrashAttributionLimits): PromptQuarantine {
        val lastCrashAtMs = explained.last().atMs
        val doublings = (counted.size - limits.minCrashes).coerceIn(0, MAX_DOUBLINGS)
        return PromptQuarantine(
            parts,
            explained.size,
            startsAtMs = counted[limits.minCrashes - 1].atMs + limits.settleMs,
            lastCrashAtMs,
            endsAtMs = lastCrashAtMs + (limits.quarantineMs shl doublings).coerceAtMost(limits.maxQuarantineMs),
        )
    }
}

private const val MAX_DOUBLINGS = 10

/** More specific combinations first, because they reject fewer requests. The last criterion makes the order the same everywhere. */
private val MOST_LIKELY_FIRST =
    compareByDescending<Hypothesis> { it.counted.size }
        .thenByDescending { it.explained.size }
        .thenByDescending { it.parts.size }
        .thenByDescending { it.weight }
        .thenBy { it.parts.min() }

/**
 * Returns the hypothesis for each part that is suspected in several crashes: the combination that always occurs together with it. It is the
 * same for parts that occur in the same suspects, so the work is small even if prompts have very many parts.
 */
private fun hypothesesOf(
    crashes: List<ObservedCrash>,
    limits: CrashAttributionLimits,
): List<Hypothesis> {
    val suspects = crashes.flatMap { crash -> crash.suspects.map { crash to it } }
    val occurrences = HashMap<PromptPartId, MutableList<Int>>()
    suspects.forEachIndexed { index, (_, suspect) -> suspect.parts.forEach { occurrences.getOrPut(it) { ArrayList() } += index } }
    return occurrences.values.distinct().mapNotNull { indexes ->
        val withPart = indexes.map { suspects[it].first }.distinct()
        if (withPart.size < 2) return@mapNotNull null
        val combination = indexes.map { suspects[it].second.parts }.reduce { a, b -> a intersect b }
        hypothesisOf(combination, withPart, limits)
    }
}

/** Returns the hypothesis that the combination [parts] causes crashes; [crashes] are all that have a suspect with one of the parts. */
private fun hypothesisOf(
    parts: Set<PromptPartId>,
    crashes: List<ObservedCrash>,
    limits: CrashAttributionLimits,
): Hypothesis {
    val explained = ArrayList<ObservedCrash>()
    val counted = ArrayList<ObservedCrash>()
    for (crash in crashes) {
        val suspects = crash.suspects.filter { it.parts.containsAll(parts) }
        if (suspects.isEmpty()) continue
        explained += crash
        if (counted.isEmpty() || isLater(crash, suspects, counted.last().atMs, limits.toleranceMs)) counted += crash
    }
    return Hypothesis(parts, explained, counted)
}

/** Returns whether one of the [suspects] of [crash] was sent after the crash at [previousAtMs], as far as can be told. */
private fun isLater(
    crash: ObservedCrash,
    suspects: List<SuspectRequest>,
    previousAtMs: Long,
    toleranceMs: Long,
): Boolean {
    // Servers that fail together may have received requests just before, so crashes at almost the same time are given no tolerance.
    val slackMs = if (crash.atMs - previousAtMs > 2 * toleranceMs) toleranceMs else 0
    return suspects.any { it.sentAtMs >= previousAtMs - slackMs }
}
