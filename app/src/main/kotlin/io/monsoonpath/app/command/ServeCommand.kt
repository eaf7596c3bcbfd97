package io.monsoonpath.app.command

import io.monsoonpath.app.http.EntryInstance
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import java.util.concurrent.CountDownLatch

/** Runs an entry instance until the process is told to stop. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand : Subcommand("serve", "Run an entry instance") {
    private val settingsFile by option(ArgType.String, fullName = "settings", description = "Settings in JSON").required()

    override fun execute() {
        val instance = EntryInstance(loadSettings(settingsFile))
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
