package io.monsoonpath.app.command

import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.peer.readPeerSecrets
import io.monsoonpath.model.Reading
import io.monsoonpath.model.Settings
import io.monsoonpath.model.readSettings
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import java.io.File
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Runs an entry instance until the process is told to stop. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand : Subcommand("serve", "Run an entry instance") {
    private val settingsFile by option(ArgType.String, fullName = "settings", description = "Settings in JSON").required()

    override fun execute() {
        val instance = loadInstance(settingsFile)
        val stopped = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(
            Thread {
                instance.close()
                stopped.countDown()
            },
        )
        instance.start()
        stopped.await()
    }
}

/** Reads settings from [file], or ends the process with [EXIT_BAD_INPUT] and one line for each problem. */
internal fun loadSettings(file: String): Settings {
    val text = runCatching { File(file).readText() }.getOrElse { fail("$file: cannot be read: ${it.message}") }
    return when (val reading = readSettings(text)) {
        is Reading.Valid -> reading.document
        is Reading.Invalid -> fail(reading.problems.joinToString("\n") { "$file: $it" })
    }
}

/** Prints [message] to standard error and ends the process with [EXIT_BAD_INPUT]. */
internal fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_BAD_INPUT)
}

/** The exit code for bad arguments, settings or documents. */
internal const val EXIT_BAD_INPUT = 2

/** Creates the instance that the settings in [file] describe, or ends the process with [EXIT_BAD_INPUT]. */
private fun loadInstance(file: String): EntryInstance {
    val settings = loadSettings(file)
    val secrets =
        runCatching { readPeerSecrets(File(settings.peerSecretFile)) }
            .getOrElse { fail("$file: $.peerSecretFile: ${settings.peerSecretFile}: ${it.message}") }
    return EntryInstance(settings, secrets)
}
