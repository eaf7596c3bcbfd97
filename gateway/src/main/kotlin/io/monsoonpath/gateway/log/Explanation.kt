package io.monsoonpath.gateway.log

import io.monsoonpath.model.RequestId
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/** A parsed line of a [DecisionLog]; [source] is the name of the instance or file that it comes from. */
class LogLine private constructor(
    val source: String,
    val atUnixMs: Long,
    val event: String,
    val fields: Map<String, String>,
) {
    /** Returns the line as readable text, with its time relative to [startUnixMs]. */
    fun toText(startUnixMs: Long): String {
        val details = fields.filterKeys { it != "request" }.entries.joinToString(" ") { "${it.key}=${it.value}" }
        return "%+8d ms  %-20s %-22s %s".format(atUnixMs - startUnixMs, source, event, details).trimEnd()
    }

    /** Parses lines. */
    companion object {
        /** Parses [text] and returns the line, or null if it is not a line of a [DecisionLog], for example a message of the JVM. */
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
 * Explains the outcome of [request] from the log [lines] of all instances.
 *
 * Returns the lines of the request in chronological order, together with the changes in its instance's view of the backend servers, peers
 * and documents that affected it, from [HISTORY_MS] before the start of the request. The last line describes the outcome. The clocks of
 * the instances may differ, so the order of lines of different instances is only as exact as their clocks. The result is empty if no
 * line belongs to the request.
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
        "config", "domain", "documents", "store", "members", "batcher", "instance", "internal", "log", "quarantine" -> true
        else -> false
    }

private fun describeOutcome(requestLines: List<LogLine>): String {
    val endLine = requestLines.lastOrNull { it.event == "request.ended" || it.event == "request.refused" }
    val outcome = endLine?.fields?.get("outcome") ?: endLine?.fields?.get("refusal")
    val failedAttempt = requestLines.lastOrNull { it.event == "attempt.ended" && it.fields["end"] != "ANSWERED" }?.fields
    val failedStage = requestLines.lastOrNull { it.event == "stages.failed" }?.fields
    return when (outcome) {
        null -> "No line records the outcome: the instance died or still serves the request; look for its next instance.started."
        "answered-failure" ->
            "Backend server ${failedAttempt?.get("backend")} failed the request (${failedAttempt?.get("detail")}); no retry was possible."
        "OVERLOADED" ->
            if (failedStage == null) {
                "The request would have missed its latency target and was refused before it ran: see waitsMs for the wait of each stage."
            } else {
                "Stage ${failedStage["stage"]} could not start in time: see batch.sent of its pool."
            }
        "STAGES_FAILED" ->
            "Stage ${failedStage?.get("stage")} failed (${failedStage?.get("reason")}): see batch.lost and batch.no-room of its pool."
        "BACKEND_FAILED", "BACKEND_TIMED_OUT", "cut" ->
            "No complete answer from server ${failedAttempt?.get("backend")} (${failedAttempt?.get("detail")}); the request may have run."
        "NO_BACKEND" ->
            "No backend server accepted the request: those listed above rejected it, the others were removed, ejected or out of service."
        else -> OTHER_OUTCOMES[outcome] ?: "The request was refused: $outcome."
    }
}

/** The outcomes whose explanation depends on nothing else. */
private val OTHER_OUTCOMES =
    mapOf(
        "answered" to "The request was answered.",
        "caller-left" to "The caller closed the connection.",
        "QUARANTINED" to "The prompt contains what has crashed several backend servers: see quarantine.started.",
        "SHUTTING_DOWN" to "The instance was shutting down and the request would have outlived it; it was refused before it ran.",
    )

/** The state of an instance is refreshed within a few seconds, so older changes did not affect the request. */
private const val HISTORY_MS = 10_000L
