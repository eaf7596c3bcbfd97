package io.monsoonpath.app

import io.monsoonpath.app.command.DemoCommand
import io.monsoonpath.app.command.ServeCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli

/** Runs the command that [args] names. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    val parser = ArgParser("monsoonpath")
    parser.subcommands(ServeCommand(), DemoCommand())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
}
