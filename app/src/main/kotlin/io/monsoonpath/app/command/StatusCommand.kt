package io.monsoonpath.app.command

import io.monsoonpath.app.http.InstanceStatus
import io.monsoonpath.app.timeline.EventJson
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.SerializationException
import kotlin.system.exitProcess

/** Prints the status of each instance and a summary of whether the instances agree. */
@OptIn(ExperimentalCli::class)
internal class StatusCommand : Subcommand("status", "Print the status of entry instances") {
    private val instances by argument(ArgType.String, description = "Operator addresses as IP:PORT,IP:PORT")

    override fun execute() {
        val addresses = parseAddresses(instances)
        val statuses = fetchAll(addresses, "/status").successesReportingFailures().mapNotNull { it.toStatusOrNull() }
        statuses.forEach { print(it.toText()) }
        println(statuses.agreementSummary())
        if (statuses.size < addresses.size) exitProcess(EXIT_INCOMPLETE)
    }

    private fun FetchResult.Success.toStatusOrNull(): InstanceStatus? =
        try {
            EventJson.decodeFromString(InstanceStatus.serializer(), text)
        } catch (e: SerializationException) {
            System.err.println("$address: /status: not a valid instance status: ${e.message}")
            null
        }

    private companion object {
        const val EXIT_INCOMPLETE = 1
    }
}

/** Returns the status of one instance as text, with one line for each section. */
internal fun InstanceStatus.toText(): String =
    buildString {
        val service =
            if (stopping) {
                "stopping"
            } else if (ready) {
                "ready"
            } else {
                "not ready"
            }
        appendLine("$instance@$incarnation in $failureDomain ($region): $service, configuration $configuration, $runningRequests running")
        if (rejectedDocuments > 0) appendLine("  $rejectedDocuments documents rejected, the latest: ${lastProblems.joinToString("; ")}")
        if (eventsDropped > 0) appendLine("  $eventsDropped older events are no longer kept")
        sections.forEach { (name, section) -> appendLine("  $name: $section") }
    }

/** Returns one line that says whether all instances use the same configuration and are ready. */
internal fun List<InstanceStatus>.agreementSummary(): String {
    val revisions = map { it.configuration.value }.distinct().sorted()
    val notReady = filterNot { it.ready }.map { it.instance.value }
    val configurationSummary =
        if (revisions.size <=
            1
        ) {
            "all on configuration ${revisions.firstOrNull() ?: "none"}"
        } else {
            "configurations differ: $revisions"
        }
    val readinessSummary = if (notReady.isEmpty()) "all ready" else "not ready: ${notReady.joinToString()}"
    return "$size instances: $configurationSummary; $readinessSummary"
}
