package io.monsoonpath.app.command

import io.monsoonpath.app.timeline.mergeTimeline
import io.monsoonpath.app.timeline.requestOrNull
import io.monsoonpath.app.timeline.toJsonLines
import io.monsoonpath.app.timeline.toLine
import io.monsoonpath.app.timeline.toSvg
import io.monsoonpath.app.timeline.toText
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.optional
import kotlinx.cli.vararg
import java.io.File

/** The output formats of a timeline. */
internal enum class TimelineFormat { TEXT, JSON, SVG }

/** Merges the events of all instances into one timeline. */
@OptIn(ExperimentalCli::class)
internal class TimelineCommand : Subcommand("timeline", "Merge the events of all instances into one timeline") {
    private val instances by option(ArgType.String, fullName = "instances", description = "Operator addresses as IP:PORT,IP:PORT")
    private val format by option(ArgType.Choice<TimelineFormat>(), fullName = "format", description = "Output format")
        .default(TimelineFormat.TEXT)
    private val output by option(
        ArgType.String,
        fullName = "output",
        shortName = "o",
        description = "Output file, standard output if missing",
    )
    private val files by argument(
        ArgType.String,
        fullName = "files",
        description = "Files with saved events in JSON lines",
    ).vararg().optional()

    override fun execute() {
        if (instances == null && files.isEmpty()) exitWithError("timeline: --instances or files: (missing): one of them must be given")
        val fetched = instances?.let { fetchEvents(parseAddresses(it)) }.orEmpty()
        val saved = files.flatMap { parseEvents(it, readText(it)) }
        val timeline = mergeTimeline(fetched + saved)
        val text =
            when (format) {
                TimelineFormat.TEXT -> timeline.toText()
                TimelineFormat.JSON -> timeline.toJsonLines()
                TimelineFormat.SVG -> timeline.toSvg()
            }
        output?.let { writeText(File(it), text) } ?: print(text)
    }
}

/** Prints the events of one request: the target of each attempt and the reason of each decision. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : Subcommand("explain", "Print the decisions made for a request and the targets of its attempts") {
    private val request by argument(ArgType.String, description = "ID of the request")
    private val instances by option(ArgType.String, fullName = "instances", description = "Operator addresses as IP:PORT,IP:PORT")

    override fun execute() {
        val addresses = parseAddresses(instances ?: exitWithError("explain: --instances: (missing): must be given"))
        val timeline = mergeTimeline(fetchEvents(addresses))
        val requestEntries =
            timeline.entries.filter {
                it.record.event
                    .requestOrNull()
                    ?.value == request
            }
        if (requestEntries.isEmpty()) {
            timeline.dropped.forEach { System.err.println("${it.process}: events ${it.fromSeq} to ${it.toSeq} were dropped") }
            exitWithError("explain: $request: no event of this request at any instance that responded")
        }
        requestEntries.forEach { println(it.toLine()) }
    }
}
