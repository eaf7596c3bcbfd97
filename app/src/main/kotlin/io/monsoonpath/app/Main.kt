package io.monsoonpath.app

import io.monsoonpath.app.command.CheckCommand
import io.monsoonpath.app.command.ConfigCommand
import io.monsoonpath.app.command.DemoCommand
import io.monsoonpath.app.command.ExplainCommand
import io.monsoonpath.app.command.InitCommand
import io.monsoonpath.app.command.LoadCommand
import io.monsoonpath.app.command.ServeCommand
import io.monsoonpath.app.command.StatusCommand
import io.monsoonpath.app.command.TimelineCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs the command given by [args]. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("monsoonpath", strictSubcommandOptionsOrder = true)
    parser.subcommands(ServeCommand(), InitCommand(), CheckCommand(), ConfigCommand())
    parser.subcommands(StatusCommand(), ExplainCommand(), TimelineCommand(), LoadCommand(), DemoCommand())
    parser.parse(args.withHelpIfIncomplete())
}

/** Returns the arguments, with `--help` appended if they do not name a complete command. */
private fun Array<String>.withHelpIfIncomplete(): Array<String> {
    val isIncomplete = isEmpty() || (first() == "config" && (size == 1 || (size == 2 && last() != "diff")))
    return if (isIncomplete) this + "--help" else this
}
