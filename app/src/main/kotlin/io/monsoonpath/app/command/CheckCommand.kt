package io.monsoonpath.app.command

import io.monsoonpath.model.DocumentJson
import io.monsoonpath.model.readConfiguration
import io.monsoonpath.model.readSettings
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject

/** Validates settings or a configuration and prints every problem. */
@OptIn(ExperimentalCli::class)
internal class CheckCommand : Subcommand("check", "Validate settings or a configuration") {
    private val file by argument(ArgType.String, description = "Settings or configuration file in JSON")

    override fun execute() {
        val text = readText(file)
        if (isSettings(text)) {
            readSettings(text).orExit(file)
            println("$file: valid settings")
        } else {
            val revision = readConfiguration(text).orExit(file).revision
            println("$file: valid configuration, revision $revision")
        }
    }

    /** Returns whether [text] has a field that occurs only in settings and not in a configuration. */
    private fun isSettings(text: String): Boolean =
        try {
            val fields = DocumentJson.parseToJsonElement(text) as? JsonObject
            fields != null && ("platformUrl" in fields || "instance" in fields)
        } catch (_: SerializationException) {
            false
        }
}
