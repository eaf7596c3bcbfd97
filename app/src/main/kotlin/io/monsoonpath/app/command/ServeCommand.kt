package io.monsoonpath.app.command

import io.monsoonpath.app.http.EntryInstance
import io.monsoonpath.app.peer.readPeerSecrets
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import java.io.File
import java.util.concurrent.CountDownLatch

/** Runs an entry instance until the process receives a signal to stop. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand : Subcommand("serve", "Run an entry instance") {
    private val settingsFile by option(ArgType.String, fullName = "settings", description = "Settings file in JSON").required()

    override fun execute() {
        val instance = createInstance(settingsFile)
        Runtime.getRuntime().addShutdownHook(Thread { stop(instance) })
        instance.start()
        CountDownLatch(1).await()
    }

    /** Closes [instance] and halts with code 0. Without the halt, a signal would determine the exit code even after an orderly stop. */
    private fun stop(instance: EntryInstance) {
        instance.close()
        Runtime.getRuntime().halt(0)
    }
}

/** Creates the instance described by the settings in [file], or exits with [EXIT_BAD_INPUT] if they are invalid. */
private fun createInstance(file: String): EntryInstance {
    val settings = loadSettings(file)
    val secrets =
        runCatching { readPeerSecrets(File(settings.peerSecretFile)) }
            .getOrElse { exitWithError("$file: $.peerSecretFile: ${settings.peerSecretFile}: ${it.message}") }
    return EntryInstance(settings, secrets)
}
