package io.monsoonpath.app.command

import io.monsoonpath.app.load.LoadPlan
import io.monsoonpath.app.load.LoadReport
import io.monsoonpath.app.load.LoadRunner
import io.monsoonpath.app.load.readLoadPlan
import io.monsoonpath.app.load.stageCosts
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.io.File
import java.util.UUID

/** Sends the load of a plan to running entry instances and reports the results of each flow. */
@OptIn(ExperimentalCli::class)
internal class LoadCommand : Subcommand("load", "Send an open-loop load to running entry instances") {
    private val file by argument(ArgType.String, fullName = "plan", description = "Load plan in JSON")
    private val plot by option(ArgType.String, fullName = "plot", description = "File for a plot of the latencies, as SVG")

    override fun execute() {
        val plan = readLoadPlan(readText(file)).orExit(file)
        val keys = plan.flows.mapNotNull { flow -> flow.keyFile?.let { flow.name to readText(it).trim() } }.toMap()
        val runner = LoadRunner(plan, keys, requestIdPrefix = "load-" + UUID.randomUUID().toString().take(RUN_ID_CHARS))
        val results = runner.run()
        val report = LoadReport(results.summaries(), costs(plan, runner.requestIdPrefix))
        print(report.toText())
        plot?.let { writeText(File(it), report.toSvg()) }
    }

    private fun costs(
        plan: LoadPlan,
        prefix: String,
    ) = if (plan.operators.isEmpty()) emptyList() else stageCosts(fetchEvents(plan.operators), prefix)

    private companion object {
        const val RUN_ID_CHARS = 8
    }
}
