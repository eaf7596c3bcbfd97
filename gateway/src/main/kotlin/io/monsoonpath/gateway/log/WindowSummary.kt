package io.monsoonpath.gateway.log

import java.time.Instant
import java.time.format.DateTimeParseException

/** A span of time in Unix milliseconds; [toMs] is not included. */
data class TimeWindow(
    val fromMs: Long,
    val toMs: Long,
) {
    /** Parses windows. */
    companion object {
        private const val SEPARATOR = ".."

        /**
         * Parses FROM..TO, whose ends are Unix milliseconds or instants such as 2026-12-05T14:16:00Z.
         *
         * @throws IllegalArgumentException if [text] is no window; the message names what was found
         */
        fun parse(text: String): TimeWindow {
            val ends = text.split(SEPARATOR)
            require(ends.size == 2) { "the window must be FROM..TO, was '$text'" }
            val window = TimeWindow(parseInstantMs(ends[0]), parseInstantMs(ends[1]))
            require(window.fromMs < window.toMs) { "the window must begin before it ends, was '$text'" }
            return window
        }

        private fun parseInstantMs(text: String): Long =
            text.toLongOrNull() ?: try {
                Instant.parse(text).toEpochMilli()
            } catch (_: DateTimeParseException) {
                throw IllegalArgumentException("'$text' is neither Unix milliseconds nor an instant such as 2026-12-05T14:16:00Z")
            }
    }
}

/**
 * Summarizes what happened to the requests that began in [window], from the log [lines] of all instances.
 *
 * Returns a table with one line for each route, workspace and outcome: the number of requests, their share of all, the mean time until
 * they ended, and the mean number of attempts. The most frequent come first.
 */
fun summarize(
    window: TimeWindow,
    lines: List<LogLine>,
): List<String> {
    val inWindow = lines.filter { it.atUnixMs >= window.fromMs && it.atUnixMs < window.toMs }
    val begun = inWindow.filter { it.event == "request.begun" || it.event == "request.refused" }
    if (begun.isEmpty()) return emptyList()
    val endById = lines.filter { it.event == "request.ended" }.associateBy { it.source to it.fields["request"] }
    val requests = begun.map { SummarizedRequest.of(it, endById[it.source to it.fields["request"]]) }
    val rows = requests.groupBy { it.key }.values.sortedByDescending { it.size }
    return listOf(HEADER) + rows.map { rowOf(it, begun.size) }
}

private const val HEADER = "requests   share  mean ms  attempts  route                workspace            outcome"

private fun rowOf(
    requests: List<SummarizedRequest>,
    total: Int,
): String {
    val key = requests.first().key
    return "%8d  %5.1f%%  %7.0f  %8.2f  %-20s %-20s %s".format(
        requests.size,
        requests.size * 100.0 / total,
        requests.map { it.tookMs }.average(),
        requests.map { it.attempts }.average(),
        key.route,
        key.workspace,
        key.outcome,
    )
}

private data class RowKey(
    val route: String,
    val workspace: String,
    val outcome: String,
)

/** A request as it is counted: the row to which it belongs, and its figures. */
private class SummarizedRequest(
    val key: RowKey,
    val tookMs: Long,
    val attempts: Int,
) {
    companion object {
        fun of(
            begin: LogLine,
            end: LogLine?,
        ): SummarizedRequest {
            val fields = begin.fields
            val key = RowKey(fields["route"] ?: "-", fields["workspace"] ?: "-", outcomeOf(begin, end))
            return SummarizedRequest(key, end?.number("tookMs") ?: 0, end?.number("attempts")?.toInt() ?: 0)
        }

        private fun outcomeOf(
            begin: LogLine,
            end: LogLine?,
        ): String {
            if (begin.event == "request.refused") return "refused: ${begin.fields["refusal"]}"
            val outcome = end?.fields?.get("outcome") ?: return "no end recorded"
            val wasTried = (end.number("attempts") ?: 0) > 0
            return when (outcome) {
                "answered" -> if (isLate(begin, end)) "answered late" else "answered"
                "answered-failure" -> "failed by the backend server"
                "caller-left" -> if (wasTried) "the caller left during an attempt" else "the caller left before an attempt"
                "cut" -> "broken off"
                else -> if (wasTried) "given up: $outcome" else "refused: $outcome"
            }
        }

        private fun isLate(
            begin: LogLine,
            end: LogLine,
        ): Boolean {
            val targetMs = begin.number("targetMs") ?: return false
            return (end.number("firstByteMs") ?: end.number("tookMs") ?: 0) > targetMs
        }

        private fun LogLine.number(name: String): Long? = fields[name]?.toLongOrNull()
    }
}
