package io.monsoonpath.app.command

import io.monsoonpath.app.demo.DemoFleet
import io.monsoonpath.app.demo.SESSIONS
import io.monsoonpath.app.demo.Session
import io.monsoonpath.app.demo.Transcript
import io.monsoonpath.app.demo.loadDuringDomainOutage
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.util.concurrent.TimeoutException
import kotlin.system.exitProcess

/**
 * Sends requests to entry instances with stand-in backend servers and a stand-in platform, all in one process.
 *
 * The exit code is 1 if a guarantee failed.
 */
@OptIn(ExperimentalCli::class)
internal class DemoCommand : Subcommand("demo", "Run requests against embedded stand-ins and print the results") {
    override fun execute() {
        val failures = SESSIONS.flatMap { runAndPrint(it) } + runLoadAndPrint()
        failures.forEach { System.err.println(it.trim()) }
        println(if (failures.isEmpty()) "All guarantees held." else "${failures.size} guarantees failed.")
        exitProcess(if (failures.isEmpty()) 0 else 1)
    }

    private fun runAndPrint(session: Session): List<String> {
        println("== ${session.name}")
        val transcript = session.runOnNewFleet()
        println(transcript)
        return transcript.failures
    }

    private fun runLoadAndPrint(): List<String> {
        println("== load, while a failure domain goes out and comes back")
        return DemoFleet().use { fleet ->
            val report = loadDuringDomainOutage(fleet)
            println(report.toText())
            if (report.worstAttainment >= MIN_ATTAINMENT) emptyList() else listOf("FAILED: attainment ${report.worstAttainment}")
        }
    }

    private companion object {
        const val MIN_ATTAINMENT = 0.99
    }
}

/** Runs the session on a new fleet and returns its transcript. A timeout is recorded as a failed guarantee. */
internal fun Session.runOnNewFleet(): Transcript {
    val transcript = Transcript()
    try {
        DemoFleet().use { run(it, transcript) }
    } catch (e: TimeoutException) {
        transcript.check("the session ends without a timeout", holds = false, found = e.message)
    }
    return transcript
}
