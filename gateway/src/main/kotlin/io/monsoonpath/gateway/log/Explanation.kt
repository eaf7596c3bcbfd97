package io.monsoonpath.gateway.log

import io.monsoonpath.model.RequestId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/** A line of [DecisionLog], read back; [source] names the instance or file that it comes from. */
class LogLine private constructor(
    val source: String,
    val atUnixMs: Long,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Returns the line for a reader, its time counted from [startUnixMs]. */
    fun toText(startUnixMs: Long): String {
        val details = fields.filterKeys { it != "request" }.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "%+8d ms  %-20s %-22s %s".format(atUnixMs - startUnixMs, source, event, details).trimEnd()
    }

    /** Reads lines. */
    companion object {
        /** Returns the line in [text], or null if it is no line of [DecisionLog], as what a runtime prints. */
        fun parseOrNull(
            source: String,
            text: String,
        ): LogLine? {
            val fields =
                try {
                    (Json.parseToJsonElement(text) as? JsonObject).orEmpty().mapValues {
                        it.value.jsonPrimitive.contentOrNull
                            .orEmpty()
                    }
                } catch (_: SerializationException) {
                    return null
                } catch (_: IllegalArgumentException) {
                    return null
                }
            val atUnixMs = fields["ts"]?.toLongOrNull() ?: return null
            return LogLine(source, atUnixMs, fields["event"] ?: return null, fields - listOf("ts", "event"))
        }
    }
}

/**
 * Tells from the log lines of all instances what became of [request], and what was believed while it was decided.
 *
 * Returns the lines of the request in their order, among them those by which its instance changed what it believes of the backend
 * servers, peers and documents that decided it, from [HISTORY_MS] before it began; the last line says what its outcome means. Clocks of
 * instances may differ, so lines of different instances are ordered by about their clocks' difference only. An empty list means that
 * no line names the request.
 */
fun explain(
    request: RequestId,
    lines: List<LogLine>,
): List<String> {
    val requestLines = lines.filter { it.fields["request"] == request.value }.sortedBy { it.atUnixMs }
    if (requestLines.isEmpty()) return emptyList()
    val sources = requestLines.mapTo(HashSet()) { it.source }
    val backends = requestLines.mapNotNullTo(HashSet()) { it.fields["backend"] }
    val interval = requestLines.first().atUnixMs - HISTORY_MS..requestLines.last().atUnixMs
    val stateChanges = lines.filter { it.source in sources && it.atUnixMs in interval && isRelatedChange(it, backends) }
    val startUnixMs = requestLines.first().atUnixMs
    return (requestLines + stateChanges).sortedBy { it.atUnixMs }.map { it.toText(startUnixMs) } + describeOutcome(requestLines)
}

private fun isRelatedChange(
    line: LogLine,
    backends: Set<String>,
): Boolean =
    when (line.event.substringBefore('.')) {
        "backend" -> line.fields["backend"] in backends
        "config", "domain", "documents", "store", "members", "batcher", "instance", "internal", "log" -> true
        else -> false
    }

private fun describeOutcome(requestLines: List<LogLine>): String {
    val endLine = requestLines.lastOrNull { it.event == "request.ended" || it.event == "request.refused" }
    val outcome = endLine?.fields?.get("outcome") ?: endLine?.fields?.get("refusal")
    val failedAttempt = requestLines.lastOrNull { it.event == "attempt.ended" && it.fields["end"] != "ANSWERED" }?.fields
    val failedStage = requestLines.lastOrNull { it.event == "stages.failed" }?.fields
    return when (outcome) {
        null -> "No line says how it ended: the instance died or still serves it; look for its next instance.started."
        "answered" -> "It was answered."
        "answered-failure" -> "The backend server ${failedAttempt?.get(
            "backend",
        )} failed it (${failedAttempt?.get("detail")}), and no other could be asked."
        "caller-left" -> "Its caller closed the connection."
        "OVERLOADED" ->
            if (failedStage == null) {
                "It could not be on time, so it was refused before it ran: waitsMs names the pool, stage by stage."
            } else {
                "Stage ${failedStage["stage"]} could not start in time: see batch.sent of its pool."
            }
        "STAGES_FAILED" -> "Stage ${failedStage?.get(
            "stage",
        )} failed (${failedStage?.get("reason")}): see batch.lost and batch.no-room of its pool."
        "BACKEND_FAILED", "BACKEND_TIMED_OUT", "cut" ->
            "The backend server ${failedAttempt?.get("backend")} gave no whole answer (${failedAttempt?.get("detail")}); it may have run."
        "NO_BACKEND" -> "No backend server took it; those that turned it away stand above, others were removed, ejected or out."
        else -> "It was refused: $outcome."
    }
}

/** What instances believe is renewed within a few seconds: older changes decided nothing. */
private const val HISTORY_MS = 10_000L
