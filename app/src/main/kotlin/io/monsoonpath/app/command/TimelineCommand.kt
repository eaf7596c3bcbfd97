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

/** The forms in which a time line can be written. */
internal enum class TimelineFormat { TEXT, JSON, SVG }

/** Merges the events of all instances into one time line. */
@OptIn(ExperimentalCli::class)
internal class TimelineCommand : Subcommand("timeline", "Merge the events of all instances into one time line") {
    private val instances by option(ArgType.String, fullName = "instances", description = "Operator addresses, IP:PORT,IP:PORT")
    private val format by option(ArgType.Choice<TimelineFormat>(), fullName = "format", description = "Form of the output")
        .default(TimelineFormat.TEXT)
    private val output by option(ArgType.String, fullName = "output", shortName = "o", description = "Where to write the time line")
    private val files by argument(ArgType.String, fullName = "files", description = "Saved events in JSON lines").vararg().optional()

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

/** Prints where the attempts of one request went and why each step decided as it did. */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : Subcommand("explain", "Tell why a request was decided as it was, and where its attempts went") {
    private val request by argument(ArgType.String, description = "The request's id")
    private val instances by option(ArgType.String, fullName = "instances", description = "Operator addresses, IP:PORT,IP:PORT")

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
            exitWithError("explain: $request: no instance that answered has an event of it")
        }
        requestEntries.forEach { println(it.toLine()) }
    }
}
